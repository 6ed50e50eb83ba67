/* Tests the set of evacuated zones. */
#include <string.h>

#include "evacuation.h"

struct fixture {
	struct evacuations evacuations;
};

static void set_up(struct fixture *fixture, const void *unused)
{
	evacuations_init(&fixture->evacuations);
}

static void tear_down(struct fixture *fixture, const void *unused)
{
	evacuations_free(&fixture->evacuations);
}

static void check_zones(const struct fixture *fixture, uint64_t version, const char *zones)
{
	char *text = evacuations_format(&fixture->evacuations);

	g_assert_cmpuint(fixture->evacuations.version, ==, version);
	g_assert_cmpstr(text, ==, zones);
	g_free(text);
}

/* Guards against a set that depends on the order in which a list names the zones, or that contains
 * a zone twice, which would stay when it is taken back. */
static void test_order_and_duplicates(struct fixture *fixture, const void *unused)
{
	static const char *const zones[] = {"c", "a", "c", "b", "a"};

	g_assert_true(evacuations_replace(&fixture->evacuations, 7, zones, G_N_ELEMENTS(zones)));
	check_zones(fixture, 7, "a b c");
	evacuations_apply(&fixture->evacuations, 7, "c", true);
	check_zones(fixture, 8, "a b c");
	evacuations_apply(&fixture->evacuations, 8, "c", false);
	check_zones(fixture, 9, "a b");
}

/* Guards against an older set, or the same one again, that replaces a newer one. */
static void test_older_set(struct fixture *fixture, const void *unused)
{
	static const char *const newer[] = {"a"};
	static const char *const older[] = {"b"};

	g_assert_true(evacuations_replace(&fixture->evacuations, 5, newer, 1));
	g_assert_false(evacuations_replace(&fixture->evacuations, 4, older, 1));
	g_assert_false(evacuations_replace(&fixture->evacuations, 5, older, 1));
	g_assert_false(evacuations_extend(&fixture->evacuations, 5, older, 1));
	g_assert_false(evacuations_advance(&fixture->evacuations, 5));
	check_zones(fixture, 5, "a");
	g_assert_true(evacuations_replace(&fixture->evacuations, 6, older, 1));
	check_zones(fixture, 6, "b");
	g_assert_true(evacuations_replace(&fixture->evacuations, 7, NULL, 0));
	check_zones(fixture, 7, "");
}

/* Guards against a zone that is evacuated or taken back again by a record that the set contains. */
static void test_older_record(struct fixture *fixture, const void *unused)
{
	static const char *const zones[] = {"a"};

	evacuations_replace(&fixture->evacuations, 5, zones, 1);
	evacuations_apply(&fixture->evacuations, 4, "a", false);
	evacuations_apply(&fixture->evacuations, 3, "b", true);
	check_zones(fixture, 5, "a");
	evacuations_apply(&fixture->evacuations, 5, "a", false);
	check_zones(fixture, 6, "");
	evacuations_apply(&fixture->evacuations, 5, "a", true);
	check_zones(fixture, 6, "");
}

/* Guards against a zone that is taken back because an incomplete list lacks it, and against an
 * incomplete list that evacuates nothing. */
static void test_incomplete_list(struct fixture *fixture, const void *unused)
{
	static const char *const before[] = {"a", "b"};
	static const char *const listed[] = {"b", "c"};

	evacuations_replace(&fixture->evacuations, 5, before, G_N_ELEMENTS(before));
	g_assert_true(evacuations_extend(&fixture->evacuations, 9, listed, G_N_ELEMENTS(listed)));
	check_zones(fixture, 9, "a b c");
	g_assert_true(evacuations_replace(&fixture->evacuations, 10, listed, 1));
	check_zones(fixture, 10, "b");
}

/* Guards against a zone that cannot be evacuated again, and against changes that are not counted:
 * they would not be logged. */
static void test_evacuated_again(struct fixture *fixture, const void *unused)
{
	struct evacuations *evacuations = &fixture->evacuations;

	evacuations_apply(evacuations, 0, "a", true);
	g_assert_true(evacuations_contains(evacuations, "a"));
	evacuations_apply(evacuations, 1, "a", false);
	g_assert_false(evacuations_contains(evacuations, "a"));
	evacuations_apply(evacuations, 2, "a", true);
	g_assert_true(evacuations_contains(evacuations, "a"));
	g_assert_cmpuint(evacuations->set_changes, ==, 3);
	/* Neither the same record again nor one of a zone that is not evacuated is a change. */
	evacuations_apply(evacuations, 3, "a", true);
	evacuations_apply(evacuations, 4, "b", false);
	evacuations_advance(evacuations, 20);
	g_assert_cmpuint(evacuations->set_changes, ==, 3);
	check_zones(fixture, 20, "a");
}

/* Guards against a set that grows without a bound, and against one that is full and then neither
 * keeps nor returns its zones. */
static void test_limit(struct fixture *fixture, const void *unused)
{
	struct evacuations *evacuations = &fixture->evacuations;
	char zone[8];

	for (unsigned i = 0; i < EVACUATED_ZONES_MAX + 10; i++) {
		g_snprintf(zone, sizeof(zone), "z%u", i);
		evacuations_apply(evacuations, i, zone, true);
	}
	g_assert_cmpuint(evacuations->zones->len, ==, EVACUATED_ZONES_MAX);
	g_assert_true(evacuations_contains(evacuations, "z0"));
	g_assert_false(evacuations_contains(evacuations, zone));
	evacuations_apply(evacuations, EVACUATED_ZONES_MAX + 10, "z0", false);
	evacuations_apply(evacuations, EVACUATED_ZONES_MAX + 11, zone, true);
	g_assert_false(evacuations_contains(evacuations, "z0"));
	g_assert_true(evacuations_contains(evacuations, zone));
}

/* Guards against the evacuation of servers without a zone by a record that names none, and of a
 * zone whose name begins with that of another. */
static void test_other_names(struct fixture *fixture, const void *unused)
{
	static const char *const zones[] = {"", "ab"};

	evacuations_replace(&fixture->evacuations, 1, zones, G_N_ELEMENTS(zones));
	g_assert_false(evacuations_contains(&fixture->evacuations, ""));
	g_assert_false(evacuations_contains(&fixture->evacuations, "a"));
	g_assert_false(evacuations_contains(&fixture->evacuations, "abc"));
	g_assert_true(evacuations_contains(&fixture->evacuations, "ab"));
	evacuations_apply(&fixture->evacuations, 1, "", true);
	check_zones(fixture, 2, "ab");
}

int main(int argc, char **argv)
{
	static const struct {
		const char *path;
		void (*run)(struct fixture *fixture, const void *unused);
	} tests[] = {
		{"/evacuation/order_and_duplicates", test_order_and_duplicates},
		{"/evacuation/older_set", test_older_set},
		{"/evacuation/older_record", test_older_record},
		{"/evacuation/incomplete_list", test_incomplete_list},
		{"/evacuation/evacuated_again", test_evacuated_again},
		{"/evacuation/limit", test_limit},
		{"/evacuation/other_names", test_other_names},
	};

	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(tests); i++)
		g_test_add(tests[i].path, struct fixture, NULL, set_up, tests[i].run, tear_down);
	return g_test_run();
}
