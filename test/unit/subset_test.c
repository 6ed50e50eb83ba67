/* Tests the selection of entries by agents. Guards against a full mesh at hundreds of hosts,
 * entries without agents, agents without entries after the loss of a zone, and services that an
 * entry does not reach. */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "subset.h"

enum {
	ENTRIES = 55,
	AGENTS = 240,
	ZONES = 5,
	NAME_LENGTH = 32
};

struct choice {
	struct subset_entry rows[ENTRIES + 1];
	uint32_t entries[ENTRIES + 1]; /* index of the entry in each row */
	bool selected[ENTRIES + 1];    /* by index of the entry */
};

struct row {
	uint64_t rank;
	struct subset_entry entry;
	uint32_t index;
};

static int by_rank(const void *a, const void *b)
{
	const struct row *left = a;
	const struct row *right = b;

	return (left->rank < right->rank) - (left->rank > right->rank);
}

/* Selects SIZE of COUNT entries for AGENT. Entries in LOST_ZONE are unreachable; -1 for none. */
static void choose(uint32_t agent, uint32_t count, int lost_zone, uint32_t size,
		   struct choice *choice)
{
	struct row rows[ENTRIES + 1];
	char address[NAME_LENGTH];
	char name[NAME_LENGTH];

	g_snprintf(name, sizeof(name), "side-%u", agent);
	for (uint32_t i = 0; i < count; i++) {
		g_snprintf(address, sizeof(address), "10.%u.0.%u:7720", i % ZONES, i / ZONES);
		rows[i].index = i;
		rows[i].rank = subset_rank(name, address);
		rows[i].entry.reachable = (int)(i % ZONES) != lost_zone;
	}
	qsort(rows, count, sizeof(*rows), by_rank);
	for (uint32_t i = 0; i < count; i++) {
		choice->rows[i] = rows[i].entry;
		choice->entries[i] = rows[i].index;
	}
	subset_select(choice->rows, count, size);
	for (uint32_t i = 0; i < count; i++)
		choice->selected[choice->entries[i]] = choice->rows[i].selected;
}

/* Guards against uneven selection: with 55 entries and 240 agents, each agent serves 16 entries,
 * and each entry has between half and twice the mean of 70 agents. */
static void test_balance(void)
{
	uint32_t agents_of[ENTRIES] = {0};
	struct choice choice;

	for (uint32_t agent = 0; agent < AGENTS; agent++) {
		uint32_t selected = 0;

		choose(agent, ENTRIES, -1, SUBSET_MIN_ENTRIES, &choice);
		for (uint32_t i = 0; i < ENTRIES; i++) {
			selected += choice.selected[i];
			agents_of[i] += choice.selected[i];
		}
		g_assert_cmpuint(selected, ==, SUBSET_MIN_ENTRIES);
	}
	for (uint32_t i = 0; i < ENTRIES; i++) {
		g_assert_cmpuint(agents_of[i], >=, AGENTS * SUBSET_MIN_ENTRIES / ENTRIES / 2);
		g_assert_cmpuint(agents_of[i], <=, AGENTS * SUBSET_MIN_ENTRIES / ENTRIES * 2);
	}
}

/* Guards against missing links in a small deployment, which uses a full mesh. */
static void test_small_deployment(void)
{
	struct choice choice;

	choose(0, SUBSET_MIN_ENTRIES, -1, SUBSET_MIN_ENTRIES, &choice);
	for (uint32_t i = 0; i < SUBSET_MIN_ENTRIES; i++)
		g_assert_true(choice.selected[i]);
}

/* Guards against too few entries after the loss of a zone: an agent must then serve its full
 * number of entries in the other zones, and keep trying the selected entries of the lost zone. */
static void test_lost_zone(void)
{
	struct choice before;
	struct choice after;

	for (uint32_t agent = 0; agent < AGENTS; agent++) {
		uint32_t reached = 0;

		choose(agent, ENTRIES, -1, SUBSET_MIN_ENTRIES, &before);
		choose(agent, ENTRIES, 2, SUBSET_MIN_ENTRIES, &after);
		for (uint32_t i = 0; i < ENTRIES; i++) {
			reached += after.selected[i] && i % ZONES != 2;
			g_assert_true(!before.selected[i] || after.selected[i]);
		}
		g_assert_cmpuint(reached, ==, SUBSET_MIN_ENTRIES);
	}
}

/* Guards against reshuffling: a new entry replaces at most one entry at each agent. */
static void test_added_entry(void)
{
	struct choice before;
	struct choice after;

	for (uint32_t agent = 0; agent < AGENTS; agent++) {
		uint32_t dropped = 0;

		choose(agent, ENTRIES, -1, SUBSET_MIN_ENTRIES, &before);
		choose(agent, ENTRIES + 1, -1, SUBSET_MIN_ENTRIES, &after);
		for (uint32_t i = 0; i < ENTRIES; i++)
			dropped += before.selected[i] && !after.selected[i];
		g_assert_cmpuint(dropped, ==, after.selected[ENTRIES] ? 1 : 0);
	}
}

/* Guards against entries that reach too few servers of a small service: with eight servers and 55
 * entries, each agent serves all entries; with 240 servers it serves 16 again. */
static void test_small_service(void)
{
	uint32_t size = SUBSET_MIN_ENTRIES;

	for (int i = 0; i < 4; i++)
		size = subset_size(size, 8.0 * size / ENTRIES, ENTRIES);
	g_assert_cmpuint(size, ==, ENTRIES);
	for (int i = 0; i < 4; i++)
		size = subset_size(size, 240.0 * size / ENTRIES, ENTRIES);
	g_assert_cmpuint(size, ==, SUBSET_MIN_ENTRIES);
	g_assert_cmpuint(subset_size(size, 0, ENTRIES), ==, SUBSET_MIN_ENTRIES);
	g_assert_cmpuint(subset_size(size, 1, 3), ==, SUBSET_MIN_ENTRIES);
}

/* Guards against a wrong estimate of competing work: another entry's work counts in proportion to
 * the servers that both use. */
static void test_overlap(void)
{
	g_assert_cmpfloat(subset_overlap(3), ==, 1);
	g_assert_cmpfloat(subset_overlap(SUBSET_MIN_ENTRIES), ==, 1);
	g_assert_cmpfloat(subset_overlap(2 * SUBSET_MIN_ENTRIES), ==, 0.5);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/subset/balance", test_balance);
	g_test_add_func("/subset/small", test_small_deployment);
	g_test_add_func("/subset/lost_zone", test_lost_zone);
	g_test_add_func("/subset/joining_entry", test_added_entry);
	g_test_add_func("/subset/scarce_service", test_small_service);
	g_test_add_func("/subset/overlap", test_overlap);
	return g_test_run();
}
