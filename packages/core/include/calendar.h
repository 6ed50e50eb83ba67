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
 * "to" is not after its "from" ends on the next day. A time is on when a window holds it; a date
 * exception goes before the windows that begin on that date.
 */

/* Checks a calendar. STATUS_INVALID_CONFIG with the path below PATH. */
enum status calendar_validate(const json_t *calendar, const char *path, struct error *err);

/* Returns whether capacity is on at WALL_MS. CALENDAR has been validated. */
bool calendar_is_on(const json_t *calendar, int64_t wall_ms);

/* Returns the next time, in ms since 1970, at which calendar_is_on changes, or INT64_MAX within the
 * next 8 days. */
int64_t calendar_next_change_ms(const json_t *calendar, int64_t wall_ms);

#endif
