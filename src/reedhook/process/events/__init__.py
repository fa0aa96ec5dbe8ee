"""Timeline of events: recording, merging and rendering."""
