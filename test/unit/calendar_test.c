#include "calendar.h"

#include <glib.h>

static json_t *make_calendar(const char *weekly, const char *exceptions)
{
	char *text = g_strdup_printf("{\"time_zone\": \"America/Toronto\", \"weekly\": [%s], "
				     "\"exceptions\": [%s]}",
				     weekly, exceptions);
	json_t *calendar = json_loads(text, 0, NULL);
	struct error err;

	if (calendar_validate(calendar, "calendar", &err) != STATUS_OK)
		g_error("%s", err.message);
	g_free(text);
	return calendar;
}

static int64_t utc_ms(const char *text)
{
	GDateTime *time = g_date_time_new_from_iso8601(text, NULL);
	int64_t ms = g_date_time_to_unix(time) * 1000;

	g_date_time_unref(time);
	return ms;
}

static void assert_is_on(const json_t *calendar, const char *time, bool expected)
{
	if (calendar_is_on(calendar, utc_ms(time)) != expected)
		g_error("%s: expected %s", time, expected ? "on" : "off");
}

/*
 * A window over midnight belongs to the day on which it begins. If only the time of day were
 * compared, the window would be off after midnight, or on after the midnight of a day on which it
 * did not begin.
 */
static void test_window_over_midnight(void)
{
	json_t *calendar =
		make_calendar("{\"days\": [\"fri\"], \"from\": \"22:00\", \"to\": \"06:00\"}", "");

	/* 2026-12-04 is a Friday; Toronto is at UTC-5. */
	assert_is_on(calendar, "2026-12-05T02:59:59Z", false);
	assert_is_on(calendar, "2026-12-05T03:00:00Z", true);
	assert_is_on(calendar, "2026-12-05T10:59:59Z", true);
	assert_is_on(calendar, "2026-12-05T11:00:00Z", false);
	assert_is_on(calendar, "2026-12-06T04:00:00Z", false);
	json_decref(calendar);
}

/* "00:00" to "00:00" and "00:00" to "24:00" must be the whole day and not an empty window. */
static void test_whole_day(void)
{
	json_t *calendar =
		make_calendar("{\"days\": [\"sat\"], \"from\": \"00:00\", \"to\": \"00:00\"},"
			      "{\"days\": [\"sun\"], \"from\": \"00:00\", \"to\": \"24:00\"}",
			      "");

	assert_is_on(calendar, "2026-12-05T04:59:59Z", false);
	assert_is_on(calendar, "2026-12-05T05:00:00Z", true);
	assert_is_on(calendar, "2026-12-07T04:59:59Z", true);
	assert_is_on(calendar, "2026-12-07T05:00:00Z", false);
	g_assert_cmpint(calendar_next_change_ms(calendar, utc_ms("2026-12-05T06:00:00Z")), ==,
			utc_ms("2026-12-07T05:00:00Z"));
	json_decref(calendar);
}

/* In spring 02:00 to 03:00 is skipped (at 07:00 UTC). A window that begins in the skipped hour
 * must begin at the moment of the change and end at its usual local time. */
static void test_spring_change(void)
{
	json_t *calendar =
		make_calendar("{\"days\": [\"sun\"], \"from\": \"02:30\", \"to\": \"08:00\"}", "");

	assert_is_on(calendar, "2026-03-08T06:59:59Z", false);
	assert_is_on(calendar, "2026-03-08T07:00:00Z", true);
	assert_is_on(calendar, "2026-03-08T11:59:59Z", true);
	assert_is_on(calendar, "2026-03-08T12:00:00Z", false);
	json_decref(calendar);
}

/* In autumn 01:00 to 02:00 occurs twice (at 05:00 and 06:00 UTC). A window that begins or ends in
 * the repeated hour must not lose an hour. */
static void test_autumn_change(void)
{
	json_t *calendar =
		make_calendar("{\"days\": [\"sun\"], \"from\": \"00:30\", \"to\": \"01:30\"}", "");
	json_t *begins_in_repeated_hour =
		make_calendar("{\"days\": [\"sun\"], \"from\": \"01:30\", \"to\": \"03:00\"}", "");

	assert_is_on(calendar, "2026-11-01T04:29:59Z", false);
	assert_is_on(calendar, "2026-11-01T04:30:00Z", true);
	assert_is_on(calendar, "2026-11-01T06:29:59Z", true);
	assert_is_on(calendar, "2026-11-01T06:30:00Z", false);
	assert_is_on(begins_in_repeated_hour, "2026-11-01T05:29:59Z", false);
	assert_is_on(begins_in_repeated_hour, "2026-11-01T05:30:00Z", true);
	assert_is_on(begins_in_repeated_hour, "2026-11-01T07:59:59Z", true);
	assert_is_on(begins_in_repeated_hour, "2026-11-01T08:00:00Z", false);
	json_decref(calendar);
	json_decref(begins_in_repeated_hour);
}

/* An "off" exception must remove only the windows that begin on its date; an "on" exception must be
 * on from midnight to midnight. */
static void test_exceptions(void)
{
	json_t *calendar = make_calendar(
		"{\"days\": [\"thu\", \"fri\"], \"from\": \"22:00\", \"to\": \"06:00\"}",
		"{\"date\": \"2026-12-25\", \"on\": false}, {\"date\": \"2026-12-27\", \"on\": "
		"true}");

	assert_is_on(calendar, "2026-12-25T10:59:59Z", true); /* window of Thursday the 24th */
	assert_is_on(calendar, "2026-12-26T04:00:00Z", false);
	assert_is_on(calendar, "2026-12-27T04:59:59Z", false);
	assert_is_on(calendar, "2026-12-27T05:00:00Z", true);
	assert_is_on(calendar, "2026-12-28T04:59:59Z", true);
	assert_is_on(calendar, "2026-12-28T05:00:00Z", false);
	json_decref(calendar);
}

/* A timer set to calendar_next_change_ms() must not miss a change, nor fire at a boundary where one
 * window continues another. */
static void test_next_change(void)
{
	json_t *calendar =
		make_calendar("{\"days\": [\"mon\"], \"from\": \"08:00\", \"to\": \"12:00\"},"
			      "{\"days\": [\"mon\"], \"from\": \"12:00\", \"to\": \"18:00\"}",
			      "");
	json_t *never = make_calendar("", "");
	int64_t now = utc_ms("2026-12-04T00:00:00Z");

	now = calendar_next_change_ms(calendar, now);
	g_assert_cmpint(now, ==, utc_ms("2026-12-07T13:00:00Z"));
	now = calendar_next_change_ms(calendar, now);
	g_assert_cmpint(now, ==, utc_ms("2026-12-07T23:00:00Z"));
	now = calendar_next_change_ms(calendar, now + 1);
	g_assert_cmpint(now, ==, utc_ms("2026-12-14T13:00:00Z"));
	g_assert_cmpint(calendar_next_change_ms(never, now), ==, INT64_MAX);
	json_decref(calendar);
	json_decref(never);
}

/* Hosts may have different time zones installed. Validation must not depend on them, or replicas
 * would accept different patches. A time zone that is not installed must be treated as UTC. */
static void test_time_zone_not_installed(void)
{
	json_t *calendar = json_loads("{\"time_zone\": \"Mars/Olympus\", \"weekly\": [{\"days\": "
				      "[\"fri\"], \"from\": \"12:00\", \"to\": \"13:00\"}]}",
				      0, NULL);

	g_assert_cmpint(calendar_validate(calendar, "", NULL), ==, STATUS_OK);
	g_assert_false(calendar_time_zone_is_installed(calendar));
	assert_is_on(calendar, "2026-12-04T12:30:00Z", true);
	json_decref(calendar);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/calendar/over-midnight", test_window_over_midnight);
	g_test_add_func("/calendar/whole-day", test_whole_day);
	g_test_add_func("/calendar/spring", test_spring_change);
	g_test_add_func("/calendar/autumn", test_autumn_change);
	g_test_add_func("/calendar/exceptions", test_exceptions);
	g_test_add_func("/calendar/next-change", test_next_change);
	g_test_add_func("/calendar/unknown-zone", test_time_zone_not_installed);
	return g_test_run();
}
