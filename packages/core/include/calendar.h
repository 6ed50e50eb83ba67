/* Weekly windows with a time zone and date exceptions: whether capacity is on at a given time. */
#ifndef GG_CALENDAR_H
#define GG_CALENDAR_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "status.h"

/*
 * A calendar in JSON: {"time_zone": "America/Toronto", "weekly": [{"days": ["mon", ...], "from":
 * "07:00", "to": "19:00"}], "exceptions": [{"date": "2026-12-25", "on": false}]}. A window whose
 * "to" is not after its "from" ends on the next day. A time is on when a window holds it. A date
 * exception replaces the windows that begin on that date: by the whole date, or by nothing. Windows
 * follow the wall clock through daylight saving changes: a time that occurs twice begins a window
 * at its first occurrence and ends one at its second; a time that is skipped stands for the moment
 * of the change.
 */

/*
 * Checks a calendar. STATUS_INVALID_CONFIG with the path below PATH. Only the form of the time zone
 * is checked, since the zones that are installed may differ between hosts.
 */
enum status calendar_validate(const json_t *calendar, const char *path, struct error *err);

/* Returns whether the time zone of a validated calendar is installed on this host. */
bool calendar_time_zone_is_installed(const json_t *calendar);

/* Returns whether capacity is on at WALL_MS. CALENDAR has been validated. A time zone that is not
 * installed counts as UTC. */
bool calendar_is_on(const json_t *calendar, int64_t wall_ms);

/* Returns the next time, in ms since 1970, at which calendar_is_on changes, or INT64_MAX when it
 * does not within the next 8 days. */
int64_t calendar_next_change_ms(const json_t *calendar, int64_t wall_ms);

#endif
