#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "event.h"

/* Returns the row for EVENT that docs/events.md must contain, up to the description column. */
static char *format_docs_row(enum event event)
{
	return g_strdup_printf("| %d | %s | %s | %s |", event_number(event),
			       event_constant_name(event), event_level_name(event),
			       event_message(event));
}

/* Guards against an event that docs/events.md omits or documents with another number, level or
 * message, which would mislead operators. */
static void test_docs_list_every_event(void)
{
	char *text;

	g_assert_true(g_file_get_contents(GG_SOURCE_DIR "/docs/events.md", &text, NULL, NULL));
	for (int i = 0; i < EVENT_COUNT; i++) {
		char *row = format_docs_row((enum event)i);

		if (!strstr(text, row))
			g_test_fail_printf("docs/events.md lacks: %s", row);
		g_free(row);
	}
	g_free(text);
}

/* Guards against rows in docs/events.md that are duplicates or belong to events removed from the
 * code. */
static void test_docs_list_no_other_events(void)
{
	char **lines;
	char *text;
	int rows = 0;

	g_assert_true(g_file_get_contents(GG_SOURCE_DIR "/docs/events.md", &text, NULL, NULL));
	lines = g_strsplit(text, "\n", -1);
	for (char **line = lines; *line; line++) {
		if ((*line)[0] == '|' && g_ascii_isdigit((*line)[2]))
			rows++;
	}
	g_assert_cmpint(rows, ==, EVENT_COUNT);
	g_strfreev(lines);
	g_free(text);
}

/* Guards against two events with the same number: programs that read the log identify events by
 * number. */
static void test_numbers_are_unique(void)
{
	for (int i = 0; i < EVENT_COUNT; i++) {
		for (int j = 0; j < i; j++)
			g_assert_cmpint(event_number((enum event)i), !=,
					event_number((enum event)j));
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/event/catalogue_complete", test_docs_list_every_event);
	g_test_add_func("/event/catalogue_exact", test_docs_list_no_other_events);
	g_test_add_func("/event/unique", test_numbers_are_unique);
	return g_test_run();
}
