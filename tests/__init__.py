"""Tests of reedhook."""
