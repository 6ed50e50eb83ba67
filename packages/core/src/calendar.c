#include "calendar.h"

#include <glib.h>
#include <string.h>

#include "config_check.h"

enum {
	DAY_S = 86400,
	DAY_MINUTES = 1440,
	MINUTE_S = 60,
	MS_PER_S = 1000,
	DAYS_A_WEEK = 7,
	EPOCH_WEEKDAY = 3,     /* 1970-01-01 was a Thursday, counted from Monday */
	EPOCH_JULIAN = 719163, /* of 1970-01-01, as GDate counts */
	SEARCH_DAYS = 8,
	MAX_WINDOWS = 64,
	MAX_EXCEPTIONS = 1000,
	MAX_BOUNDARIES = 2 * (SEARCH_DAYS + 3) * (MAX_WINDOWS + 1),
	MAX_ZONES = 1024 /* kept open; above the number of zones in the tz database */
};

static const char *const day_names[DAYS_A_WEEK] = {"mon", "tue", "wed", "thu", "fri", "sat", "sun"};

/* A span of instants, in seconds since 1970, end excluded. */
struct span {
	int64_t begin;
	int64_t end;
};

static int read_two_digits(const char *text)
{
	if (!g_ascii_isdigit(text[0]) || !g_ascii_isdigit(text[1]))
		return -1;
	return (text[0] - '0') * 10 + text[1] - '0';
}

/* Returns the minute of the day of "HH:MM", 24:00 included, or -1. */
static int read_minute(const char *text)
{
	int hour;
	int minute;

	if (!text || strlen(text) != 5 || text[2] != ':')
		return -1;
	hour = read_two_digits(text);
	minute = read_two_digits(text + 3);
	if (hour < 0 || minute < 0 || minute > 59 || hour * 60 + minute > DAY_MINUTES)
		return -1;
	return hour * 60 + minute;
}

/* Returns the days since 1970 of "YYYY-MM-DD", or -1 for no date from 1970 on. */
static int64_t read_date(const char *text)
{
	int year;
	int month;
	int day;

	if (!text || strlen(text) != 10 || text[4] != '-' || text[7] != '-')
		return -1;
	if (read_two_digits(text) < 0 || read_two_digits(text + 2) < 0)
		return -1;
	year = read_two_digits(text) * 100 + read_two_digits(text + 2);
	month = read_two_digits(text + 5);
	day = read_two_digits(text + 8);
	if (year < 1970 || month < 1 || day < 1 ||
	    !g_date_valid_dmy((GDateDay)day, (GDateMonth)month, (GDateYear)year))
		return -1;
	GDate date = {0};

	g_date_set_dmy(&date, (GDateDay)day, (GDateMonth)month, (GDateYear)year);
	return (int64_t)g_date_get_julian(&date) - EPOCH_JULIAN;
}

static enum status check_zone(const json_t *value, const char *path, struct error *err)
{
	const char *text = json_string_value(value);

	if (!text || !g_ascii_isalpha(*text) || strlen(text) > 63 || strstr(text, "..") ||
	    strspn(text, "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789_+-/") !=
		    strlen(text))
		return check_refuse(path, "a time zone such as \"America/Toronto\"", err);
	return STATUS_OK;
}

static enum status check_day(const json_t *value, const char *path, struct error *err)
{
	for (int i = 0; i < DAYS_A_WEEK; i++) {
		if (g_strcmp0(json_string_value(value), day_names[i]) == 0)
			return STATUS_OK;
	}
	return check_refuse(path, "mon, tue, wed, thu, fri, sat or sun", err);
}

static enum status check_days(const json_t *value, const char *path, struct error *err)
{
	return check_list(value, path, DAYS_A_WEEK, check_day, err);
}

static enum status check_from(const json_t *value, const char *path, struct error *err)
{
	int minute = read_minute(json_string_value(value));

	if (minute < 0 || minute >= DAY_MINUTES)
		return check_refuse(path, "a time from \"00:00\" to \"23:59\"", err);
	return STATUS_OK;
}

static enum status check_to(const json_t *value, const char *path, struct error *err)
{
	if (read_minute(json_string_value(value)) < 0)
		return check_refuse(path, "a time from \"00:00\" to \"24:00\"", err);
	return STATUS_OK;
}

static enum status check_date(const json_t *value, const char *path, struct error *err)
{
	if (read_date(json_string_value(value)) < 0)
		return check_refuse(path, "a date such as \"2026-12-25\", from 1970 on", err);
	return STATUS_OK;
}

static enum status check_on(const json_t *value, const char *path, struct error *err)
{
	return json_is_boolean(value) ? STATUS_OK : check_refuse(path, "true or false", err);
}

static enum status check_window(const json_t *value, const char *path, struct error *err)
{
	static const struct check_key keys[] = {
		{"days", check_days, true},
		{"from", check_from, true},
		{"to", check_to, true},
		{0},
	};

	return check_object(value, path, keys, err);
}

static enum status check_weekly(const json_t *value, const char *path, struct error *err)
{
	return check_list(value, path, MAX_WINDOWS, check_window, err);
}

static enum status check_exception(const json_t *value, const char *path, struct error *err)
{
	static const struct check_key keys[] = {
		{"date", check_date, true},
		{"on", check_on, true},
		{0},
	};

	return check_object(value, path, keys, err);
}

static enum status check_exceptions(const json_t *value, const char *path, struct error *err)
{
	return check_list(value, path, MAX_EXCEPTIONS, check_exception, err);
}

enum status calendar_validate(const json_t *calendar, const char *path, struct error *err)
{
	static const struct check_key keys[] = {
		{"time_zone", check_zone, true},
		{"weekly", check_weekly, true},
		{"exceptions", check_exceptions, false},
		{0},
	};

	return check_object(calendar, path, keys, err);
}

/*
 * Returns the zone, or NULL when it is not installed. GLib reads the zone's file whenever nobody
 * holds it, so the zones that were found stay open.
 */
static GTimeZone *find_zone(const json_t *calendar)
{
	static GMutex lock;
	static GHashTable *zones;
	const char *name = json_string_value(json_object_get(calendar, "time_zone"));
	GTimeZone *zone;

	g_mutex_lock(&lock);
	if (!zones)
		zones = g_hash_table_new(g_str_hash, g_str_equal);
	zone = g_hash_table_lookup(zones, name);
	if (!zone && g_hash_table_size(zones) < MAX_ZONES) {
		zone = g_time_zone_new_identifier(name);
		if (zone)
			g_hash_table_insert(zones, g_strdup(name), zone);
	}
	g_mutex_unlock(&lock);
	return zone;
}

bool calendar_time_zone_is_installed(const json_t *calendar)
{
	return find_zone(calendar) != NULL;
}

static GTimeZone *zone_or_utc(const json_t *calendar)
{
	static GTimeZone *utc;
	GTimeZone *zone = find_zone(calendar);

	if (zone)
		return zone;
	if (g_once_init_enter(&utc))
		g_once_init_leave(&utc, g_time_zone_new_utc());
	return utc;
}

static int64_t utc_offset(GTimeZone *zone, int64_t instant)
{
	int interval = g_time_zone_find_interval(zone, G_TIME_TYPE_UNIVERSAL, instant);

	return g_time_zone_get_offset(zone, interval);
}

/* Returns the instant of the wall-clock time LOCAL under one reading of ambiguous times. */
static int64_t instant_as(GTimeZone *zone, GTimeType type, int64_t local)
{
	int interval = g_time_zone_adjust_time(zone, type, &local);

	return local - g_time_zone_get_offset(zone, interval);
}

static struct span span_of(GTimeZone *zone, int64_t local_begin, int64_t local_end)
{
	return (struct span){
		.begin = MIN(instant_as(zone, G_TIME_TYPE_STANDARD, local_begin),
			     instant_as(zone, G_TIME_TYPE_DAYLIGHT, local_begin)),
		.end = MAX(instant_as(zone, G_TIME_TYPE_STANDARD, local_end),
			   instant_as(zone, G_TIME_TYPE_DAYLIGHT, local_end)),
	};
}

static const json_t *find_exception(const json_t *calendar, int64_t day)
{
	const json_t *exceptions = json_object_get(calendar, "exceptions");
	size_t index;
	json_t *item;

	json_array_foreach ((json_t *)exceptions, index, item) {
		if (read_date(json_string_value(json_object_get(item, "date"))) == day)
			return item;
	}
	return NULL;
}

static bool begins_on(const json_t *window, int64_t day)
{
	const char *name =
		day_names[((day + EPOCH_WEEKDAY) % DAYS_A_WEEK + DAYS_A_WEEK) % DAYS_A_WEEK];
	const json_t *days = json_object_get(window, "days");
	size_t index;
	json_t *item;

	json_array_foreach ((json_t *)days, index, item) {
		if (strcmp(json_string_value(item), name) == 0)
			return true;
	}
	return false;
}

/* Writes the spans that begin on DAY (days since 1970, local) to SPANS and returns their number, at
 * most MAX_WINDOWS. */
static size_t spans_of_day(const json_t *calendar, GTimeZone *zone, int64_t day, struct span *spans)
{
	const json_t *exception = find_exception(calendar, day);
	const json_t *weekly = json_object_get(calendar, "weekly");
	size_t count = 0;
	size_t index;
	json_t *window;

	if (exception && !json_is_true(json_object_get(exception, "on")))
		return 0;
	if (exception) {
		spans[0] = span_of(zone, day * DAY_S, (day + 1) * DAY_S);
		return 1;
	}
	json_array_foreach ((json_t *)weekly, index, window) {
		int from = read_minute(json_string_value(json_object_get(window, "from")));
		int to = read_minute(json_string_value(json_object_get(window, "to")));

		if (!begins_on(window, day))
			continue;
		if (to <= from)
			to += DAY_MINUTES;
		spans[count++] = span_of(zone, day * DAY_S + (int64_t)from * MINUTE_S,
					 day * DAY_S + (int64_t)to * MINUTE_S);
	}
	return count;
}

static int64_t floor_div(int64_t a, int64_t b)
{
	return a >= 0 ? a / b : -((-a + b - 1) / b);
}

static int64_t local_day(GTimeZone *zone, int64_t instant)
{
	return floor_div(instant + utc_offset(zone, instant), DAY_S);
}

static bool is_on_at(const json_t *calendar, GTimeZone *zone, int64_t instant)
{
	struct span spans[MAX_WINDOWS];
	int64_t today = local_day(zone, instant);

	/* A window that began yesterday may last into today, or over a clock change to its end. */
	for (int64_t day = today - 1; day <= today; day++) {
		size_t count = spans_of_day(calendar, zone, day, spans);

		for (size_t i = 0; i < count; i++) {
			if (spans[i].begin <= instant && instant < spans[i].end)
				return true;
		}
	}
	return false;
}

bool calendar_is_on(const json_t *calendar, int64_t wall_ms)
{
	return is_on_at(calendar, zone_or_utc(calendar), floor_div(wall_ms, MS_PER_S));
}

static int compare_instants(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

int64_t calendar_next_change_ms(const json_t *calendar, int64_t wall_ms)
{
	GTimeZone *zone = zone_or_utc(calendar);
	int64_t now = floor_div(wall_ms, MS_PER_S);
	int64_t today = local_day(zone, now);
	bool is_on = is_on_at(calendar, zone, now);
	int64_t boundaries[MAX_BOUNDARIES];
	size_t count = 0;

	for (int64_t day = today - 1; day <= today + SEARCH_DAYS; day++) {
		struct span spans[MAX_WINDOWS];
		size_t found = spans_of_day(calendar, zone, day, spans);

		for (size_t i = 0; i < found; i++) {
			boundaries[count++] = spans[i].begin;
			boundaries[count++] = spans[i].end;
		}
	}
	qsort(boundaries, count, sizeof(boundaries[0]), compare_instants);
	for (size_t i = 0; i < count; i++) {
		if (boundaries[i] > now && boundaries[i] <= now + (int64_t)SEARCH_DAYS * DAY_S &&
		    is_on_at(calendar, zone, boundaries[i]) != is_on)
			return boundaries[i] * MS_PER_S;
	}
	return INT64_MAX;
}
