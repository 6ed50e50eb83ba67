#include "calendar.h"

#include <glib.h>
#include <string.h>

#include "config_check.h"

enum {
	S_PER_DAY = 86400,
	MINUTES_PER_DAY = 1440,
	S_PER_MINUTE = 60,
	MS_PER_S = 1000,
	DAYS_PER_WEEK = 7,
	EPOCH_WEEKDAY = 3,     /* 1970-01-01 was a Thursday; Monday is 0 */
	EPOCH_JULIAN = 719163, /* day number of 1970-01-01 in GDate, where 0001-01-01 is day 1 */
	SEARCH_DAYS = 8,
	MAX_WINDOWS = 64,
	MAX_EXCEPTIONS = 1000,
	/* Upper bound, with room to spare, of the number of boundaries: two for each of at most
	 * MAX_WINDOWS windows on each of the SEARCH_DAYS + 2 days from yesterday to SEARCH_DAYS
	 * ahead. */
	MAX_BOUNDARIES = 2 * (SEARCH_DAYS + 3) * (MAX_WINDOWS + 1),
	MAX_TIME_ZONES = 1024 /* limit on the cached time zones; the tz database has fewer */
};

static const char *const day_names[DAYS_PER_WEEK] = {"mon", "tue", "wed", "thu",
						     "fri", "sat", "sun"};

/* A half-open interval of time, in seconds since 1970: END is excluded. */
struct span {
	int64_t begin;
	int64_t end;
};

static int parse_two_digits(const char *text)
{
	if (!g_ascii_isdigit(text[0]) || !g_ascii_isdigit(text[1]))
		return -1;
	return (text[0] - '0') * 10 + text[1] - '0';
}

/* Returns the minute of the day of "HH:MM", from "00:00" to "24:00", or -1 when TEXT is malformed.
 */
static int parse_minute(const char *text)
{
	int hour;
	int minute;

	if (!text || strlen(text) != 5 || text[2] != ':')
		return -1;
	hour = parse_two_digits(text);
	minute = parse_two_digits(text + 3);
	if (hour < 0 || minute < 0 || minute > 59 || hour * 60 + minute > MINUTES_PER_DAY)
		return -1;
	return hour * 60 + minute;
}

/* Returns the days since 1970 of "YYYY-MM-DD", or -1 when TEXT is malformed or before 1970. */
static int64_t parse_date(const char *text)
{
	int year;
	int month;
	int day;

	if (!text || strlen(text) != 10 || text[4] != '-' || text[7] != '-')
		return -1;
	if (parse_two_digits(text) < 0 || parse_two_digits(text + 2) < 0)
		return -1;
	year = parse_two_digits(text) * 100 + parse_two_digits(text + 2);
	month = parse_two_digits(text + 5);
	day = parse_two_digits(text + 8);
	if (year < 1970 || month < 1 || day < 1 ||
	    !g_date_valid_dmy((GDateDay)day, (GDateMonth)month, (GDateYear)year))
		return -1;
	GDate date = {0};

	g_date_set_dmy(&date, (GDateDay)day, (GDateMonth)month, (GDateYear)year);
	return (int64_t)g_date_get_julian(&date) - EPOCH_JULIAN;
}

static enum status validate_time_zone(const json_t *value, const char *path, struct error *err)
{
	const char *text = json_string_value(value);

	if (!text || !g_ascii_isalpha(*text) || strlen(text) > 63 || strstr(text, "..") ||
	    strspn(text, "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789_+-/") !=
		    strlen(text))
		return report_invalid_value(path, "a time zone such as \"America/Toronto\"", err);
	return STATUS_OK;
}

static enum status validate_day(const json_t *value, const char *path, struct error *err)
{
	for (int i = 0; i < DAYS_PER_WEEK; i++) {
		if (g_strcmp0(json_string_value(value), day_names[i]) == 0)
			return STATUS_OK;
	}
	return report_invalid_value(path, "mon, tue, wed, thu, fri, sat or sun", err);
}

static enum status validate_days(const json_t *value, const char *path, struct error *err)
{
	return validate_list(value, path, DAYS_PER_WEEK, validate_day, err);
}

static enum status validate_from(const json_t *value, const char *path, struct error *err)
{
	int minute = parse_minute(json_string_value(value));

	if (minute < 0 || minute >= MINUTES_PER_DAY)
		return report_invalid_value(path, "a time from \"00:00\" to \"23:59\"", err);
	return STATUS_OK;
}

static enum status validate_to(const json_t *value, const char *path, struct error *err)
{
	if (parse_minute(json_string_value(value)) < 0)
		return report_invalid_value(path, "a time from \"00:00\" to \"24:00\"", err);
	return STATUS_OK;
}

static enum status validate_date(const json_t *value, const char *path, struct error *err)
{
	if (parse_date(json_string_value(value)) < 0)
		return report_invalid_value(path, "a date such as \"2026-12-25\", from 1970 on",
					    err);
	return STATUS_OK;
}

static enum status validate_on(const json_t *value, const char *path, struct error *err)
{
	return json_is_boolean(value) ? STATUS_OK
				      : report_invalid_value(path, "true or false", err);
}

static enum status validate_window(const json_t *value, const char *path, struct error *err)
{
	static const struct object_key keys[] = {
		{"days", validate_days, true},
		{"from", validate_from, true},
		{"to", validate_to, true},
		{0},
	};

	return validate_object(value, path, keys, err);
}

static enum status validate_weekly(const json_t *value, const char *path, struct error *err)
{
	return validate_list(value, path, MAX_WINDOWS, validate_window, err);
}

static enum status validate_exception(const json_t *value, const char *path, struct error *err)
{
	static const struct object_key keys[] = {
		{"date", validate_date, true},
		{"on", validate_on, true},
		{0},
	};

	return validate_object(value, path, keys, err);
}

static enum status validate_exceptions(const json_t *value, const char *path, struct error *err)
{
	return validate_list(value, path, MAX_EXCEPTIONS, validate_exception, err);
}

enum status calendar_validate(const json_t *calendar, const char *path, struct error *err)
{
	static const struct object_key keys[] = {
		{"time_zone", validate_time_zone, true},
		{"weekly", validate_weekly, true},
		{"exceptions", validate_exceptions, false},
		{0},
	};

	return validate_object(calendar, path, keys, err);
}

/*
 * Returns the time zone of the calendar, or NULL when it is not installed or the cache is full.
 * GLib frees a GTimeZone with its last reference and would read its file again at the next lookup.
 * Therefore the cache keeps a reference to each time zone found.
 */
static GTimeZone *find_time_zone(const json_t *calendar)
{
	static GMutex lock;
	static GHashTable *time_zones;
	const char *name = json_string_value(json_object_get(calendar, "time_zone"));
	GTimeZone *time_zone;

	g_mutex_lock(&lock);
	if (!time_zones)
		time_zones = g_hash_table_new(g_str_hash, g_str_equal);
	time_zone = g_hash_table_lookup(time_zones, name);
	if (!time_zone && g_hash_table_size(time_zones) < MAX_TIME_ZONES) {
		time_zone = g_time_zone_new_identifier(name);
		if (time_zone)
			g_hash_table_insert(time_zones, g_strdup(name), time_zone);
	}
	g_mutex_unlock(&lock);
	return time_zone;
}

bool calendar_time_zone_is_installed(const json_t *calendar)
{
	return find_time_zone(calendar) != NULL;
}

static GTimeZone *time_zone_or_utc(const json_t *calendar)
{
	static GTimeZone *utc;
	GTimeZone *time_zone = find_time_zone(calendar);

	if (time_zone)
		return time_zone;
	if (g_once_init_enter(&utc))
		g_once_init_leave(&utc, g_time_zone_new_utc());
	return utc;
}

static int64_t utc_offset(GTimeZone *time_zone, int64_t instant)
{
	int interval = g_time_zone_find_interval(time_zone, G_TIME_TYPE_UNIVERSAL, instant);

	return g_time_zone_get_offset(time_zone, interval);
}

/*
 * Returns the instant (s since 1970, UTC) of the local time LOCAL. TYPE selects standard or
 * daylight saving time for a local time that occurs twice. A local time that is skipped gives the
 * moment of the change.
 */
static int64_t local_to_instant(GTimeZone *time_zone, GTimeType type, int64_t local)
{
	int interval = g_time_zone_adjust_time(time_zone, type, &local);

	return local - g_time_zone_get_offset(time_zone, interval);
}

/* Returns the span of a window between two local times. A local time that occurs twice begins the
 * span at its first occurrence and ends it at its second. */
static struct span make_span(GTimeZone *time_zone, int64_t local_begin, int64_t local_end)
{
	return (struct span){
		.begin = MIN(local_to_instant(time_zone, G_TIME_TYPE_STANDARD, local_begin),
			     local_to_instant(time_zone, G_TIME_TYPE_DAYLIGHT, local_begin)),
		.end = MAX(local_to_instant(time_zone, G_TIME_TYPE_STANDARD, local_end),
			   local_to_instant(time_zone, G_TIME_TYPE_DAYLIGHT, local_end)),
	};
}

static const json_t *find_exception(const json_t *calendar, int64_t day)
{
	const json_t *exceptions = json_object_get(calendar, "exceptions");
	size_t index;
	json_t *item;

	json_array_foreach ((json_t *)exceptions, index, item) {
		if (parse_date(json_string_value(json_object_get(item, "date"))) == day)
			return item;
	}
	return NULL;
}

static bool window_begins_on(const json_t *window, int64_t day)
{
	const char *name =
		day_names[((day + EPOCH_WEEKDAY) % DAYS_PER_WEEK + DAYS_PER_WEEK) % DAYS_PER_WEEK];
	const json_t *days = json_object_get(window, "days");
	size_t index;
	json_t *item;

	json_array_foreach ((json_t *)days, index, item) {
		if (strcmp(json_string_value(item), name) == 0)
			return true;
	}
	return false;
}

/* Writes the spans that begin on DAY (local, in days since 1970) to SPANS, which has room for
 * MAX_WINDOWS, and returns their number. */
static size_t spans_of_day(const json_t *calendar, GTimeZone *time_zone, int64_t day,
			   struct span *spans)
{
	const json_t *exception = find_exception(calendar, day);
	const json_t *weekly = json_object_get(calendar, "weekly");
	size_t count = 0;
	size_t index;
	json_t *window;

	if (exception && !json_is_true(json_object_get(exception, "on")))
		return 0;
	if (exception) {
		spans[0] = make_span(time_zone, day * S_PER_DAY, (day + 1) * S_PER_DAY);
		return 1;
	}
	json_array_foreach ((json_t *)weekly, index, window) {
		int from = parse_minute(json_string_value(json_object_get(window, "from")));
		int to = parse_minute(json_string_value(json_object_get(window, "to")));

		if (!window_begins_on(window, day))
			continue;
		if (to <= from)
			to += MINUTES_PER_DAY;
		spans[count++] =
			make_span(time_zone, day * S_PER_DAY + (int64_t)from * S_PER_MINUTE,
				  day * S_PER_DAY + (int64_t)to * S_PER_MINUTE);
	}
	return count;
}

static int64_t floor_div(int64_t a, int64_t b)
{
	return a >= 0 ? a / b : -((-a + b - 1) / b);
}

static int64_t local_day(GTimeZone *time_zone, int64_t instant)
{
	return floor_div(instant + utc_offset(time_zone, instant), S_PER_DAY);
}

static bool is_on_at(const json_t *calendar, GTimeZone *time_zone, int64_t instant)
{
	struct span spans[MAX_WINDOWS];
	int64_t today = local_day(time_zone, instant);

	/* A window that began yesterday may still be on: it may end after midnight, or a clock
	 * change may delay its end. */
	for (int64_t day = today - 1; day <= today; day++) {
		size_t count = spans_of_day(calendar, time_zone, day, spans);

		for (size_t i = 0; i < count; i++) {
			if (spans[i].begin <= instant && instant < spans[i].end)
				return true;
		}
	}
	return false;
}

bool calendar_is_on(const json_t *calendar, int64_t wall_ms)
{
	return is_on_at(calendar, time_zone_or_utc(calendar), floor_div(wall_ms, MS_PER_S));
}

static int compare_instants(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

int64_t calendar_next_change_ms(const json_t *calendar, int64_t wall_ms)
{
	GTimeZone *time_zone = time_zone_or_utc(calendar);
	int64_t now = floor_div(wall_ms, MS_PER_S);
	int64_t today = local_day(time_zone, now);
	bool is_on = is_on_at(calendar, time_zone, now);
	int64_t boundaries[MAX_BOUNDARIES];
	size_t count = 0;

	for (int64_t day = today - 1; day <= today + SEARCH_DAYS; day++) {
		struct span spans[MAX_WINDOWS];
		size_t found = spans_of_day(calendar, time_zone, day, spans);

		for (size_t i = 0; i < found; i++) {
			boundaries[count++] = spans[i].begin;
			boundaries[count++] = spans[i].end;
		}
	}
	qsort(boundaries, count, sizeof(boundaries[0]), compare_instants);
	for (size_t i = 0; i < count; i++) {
		if (boundaries[i] > now &&
		    boundaries[i] <= now + (int64_t)SEARCH_DAYS * S_PER_DAY &&
		    is_on_at(calendar, time_zone, boundaries[i]) != is_on)
			return boundaries[i] * MS_PER_S;
	}
	return INT64_MAX;
}
