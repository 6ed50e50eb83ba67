#include <glib.h>

#include "table.h"

/* Guards against a handle of a removed row that gives access to a later row with the same index. */
static void test_stale_handle_is_invalid(void)
{
	struct table table;
	struct handle first;
	struct handle second;

	table_init(&table, sizeof(int));
	table_add(&table, &first);
	g_assert_true(table_remove(&table, first));
	table_add(&table, &second);
	g_assert_cmpuint(first.index, ==, second.index);
	g_assert_null(table_get(&table, first));
	g_assert_nonnull(table_get(&table, second));
	g_assert_false(table_remove(&table, first));
	table_free(&table);
}

/* Guards against moving rows when the table grows: callers keep pointers to rows while they handle
 * an event. */
static void test_rows_do_not_move(void)
{
	struct table table;
	struct handle handle;
	int *first;

	table_init(&table, sizeof(int));
	first = table_add(&table, &handle);
	*first = 42;
	for (int i = 0; i < 10000; i++) {
		struct handle other;

		table_add(&table, &other);
	}
	g_assert_true(table_get(&table, handle) == first);
	g_assert_cmpint(*first, ==, 42);
	table_free(&table);
}

/* Guards against an iteration that visits more or fewer rows than are in use. */
static void test_iteration_visits_live_rows(void)
{
	struct table table;
	struct handle handles[200];
	uint32_t cursor = 0;
	int visited = 0;

	table_init(&table, sizeof(int));
	for (int i = 0; i < 200; i++)
		table_add(&table, &handles[i]);
	for (int i = 0; i < 200; i += 2)
		table_remove(&table, handles[i]);
	while (table_next(&table, &cursor, NULL))
		visited++;
	g_assert_cmpint(visited, ==, 100);
	g_assert_cmpuint(table_count(&table), ==, 100);
	table_free(&table);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/table/stale-handle", test_stale_handle_is_invalid);
	g_test_add_func("/table/rows-do-not-move", test_rows_do_not_move);
	g_test_add_func("/table/walk", test_iteration_visits_live_rows);
	return g_test_run();
}
