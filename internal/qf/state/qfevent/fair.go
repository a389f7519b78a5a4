package qfevent

// EntryShort is the event of shortages, in which the room of an entry is divided.
var EntryShort = Event{270, warning, "a shortage of an entry began or ended", []string{FieldEntry, FieldOutcome, FieldDetails, FieldAge}, "Look for what asks for more or for endpoints that are gone if it lasts; 261 names organisation, share and demand of those refused. Outcome OwnView means that the node gets no tallies and judges by its own requests alone. Age is that of the newest tally."}
