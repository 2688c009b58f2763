#!/bin/sh
# Plays the case of claim.txt; TROUBLE=0 leaves the disruption out. The record is in record.txt.
exec sh "$(dirname "$0")/../platform-2/run-case.sh" resend review/10
