/* Weekly calendars with a time zone and date exceptions, which switch capacity on and off. */
#ifndef GG_CALENDAR_H
#define GG_CALENDAR_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "status.h"

/*
 * A calendar in JSON: {"time_zone": "America/Toronto", "weekly": [{"days": ["mon", ...], "from":
 * "07:00", "to": "19:00"}], "exceptions": [{"date": "2026-12-25", "on": false}]}. The calendar is
 * on during each of its windows. A window whose "to" is not after its "from" ends on the next day.
 * With "on": true, an exception replaces the windows that begin on its date by one window from
 * midnight to midnight; with "on": false it drops them.
 *
 * Windows follow the wall clock through daylight saving changes: a local time that occurs twice
 * begins a window at its first occurrence and ends one at its second; a local time that is skipped
 * stands for the moment of the change.
 */

/*
 * Validates a calendar. Returns STATUS_OK, or STATUS_INVALID_CONFIG with a message in ERR that
 * names the invalid value by its path. PATH is the path of CALENDAR itself. Only the syntax of the
 * time zone is checked, because the installed time zones may differ between hosts.
 */
enum status calendar_validate(const json_t *calendar, const char *path, struct error *err);

/* Returns whether the time zone of a validated calendar is installed on this host. */
bool calendar_time_zone_is_installed(const json_t *calendar);

/* Returns whether a validated calendar is on at WALL_MS (ms since 1970). A time zone that is not
 * installed is treated as UTC. */
bool calendar_is_on(const json_t *calendar, int64_t wall_ms);

/* Returns the next time, in ms since 1970, at which the result of calendar_is_on() changes, or
 * INT64_MAX when it does not change within the 8 days after WALL_MS. */
int64_t calendar_next_change_ms(const json_t *calendar, int64_t wall_ms);

#endif
