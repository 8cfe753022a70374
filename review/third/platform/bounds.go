package main

import "time"

// contactTime is contact_ms of the settings.
const contactTime = 3 * time.Second
