#include <glib.h>

#include "link.h"

enum {
	STARTS = 1000
};

static const struct handle job = {.index = 7, .generation = 1};

/* Guards against starts that are no longer found after others in their probe sequence were removed
 * or after the table has grown. */
static void test_lookup_after_removal_and_growth(void)
{
	struct link link;
	struct link_start ended;

	link_init(&link);
	link_grant(&link, STARTS);
	for (uint32_t i = 0; i < STARTS; i++) {
		g_assert_cmpuint(link_record_start(&link, job, i, 5), ==, i + 1);
		if (i % 7 != 0)
			g_assert_true(link_end_start(&link, i + 1, &ended));
	}
	for (uint32_t i = 0; i < STARTS; i++) {
		g_assert_true(link_end_start(&link, i + 1, &ended) == (i % 7 == 0));
		g_assert_true(i % 7 != 0 || (ended.task == i && ended.sent_us == 5));
	}
	g_assert_cmpuint(link_outstanding(&link, NULL, 0), ==, 0);
	link_free(&link);
}

/* Guards against a delayed message with an old total that revokes credits, and against returning
 * more credits than are left. */
static void test_credits_never_decrease(void)
{
	struct link link;

	link_init(&link);
	g_assert_cmpuint(link_record_start(&link, job, 0, 0), ==, 0);
	link_grant(&link, 5);
	link_grant(&link, 3);
	g_assert_cmpuint(link_record_start(&link, job, 0, 0), ==, 1);
	g_assert_cmpuint(link_return_credits(&link, 9), ==, 4);
	g_assert_cmpuint(link_credits(&link), ==, 0);
	g_assert_cmpuint(link_record_start(&link, job, 0, 0), ==, 0);
	link_free(&link);
}

/* Guards against acknowledging a missing result when a later one arrives: the agent would never
 * repeat it. */
static void test_gap_is_not_acknowledged(void)
{
	struct link link;

	link_init(&link);
	g_assert_true(link_accept_result(&link, 2));
	g_assert_cmpuint(link.result_ack, ==, 0);
	g_assert_true(link_accept_result(&link, 1));
	g_assert_false(link_accept_result(&link, 1));
	g_assert_true(link_accept_result(&link, 2));
	g_assert_cmpuint(link.result_ack, ==, 2);
	link_free(&link);
}

/* Guards against starts of a lost agent that end twice or not at all, and against reused sequence
 * numbers: the agent keeps its high-water mark and would treat a start with a reused number as a
 * repeated one. */
static void test_abandon_keeps_numbers(void)
{
	struct link link;
	struct link_start ended;
	uint64_t seqs = 0;

	link_init(&link);
	link_grant(&link, 4);
	for (uint32_t i = 0; i < 3; i++)
		link_record_start(&link, job, i, 0);
	while (link_abandon_start(&link, &ended))
		seqs += ended.seq;
	g_assert_cmpuint(seqs, ==, 1 + 2 + 3);
	g_assert_cmpuint(link_record_start(&link, job, 3, 0), ==, 4);
	link_free(&link);
}

/* Guards against a new link that reuses sequence numbers which the agent has already seen, and
 * against a kept link that loses its credits at a Hello. */
static void test_resume(void)
{
	struct link link;

	link_init(&link);
	link_resume(&link, 8, 9);
	g_assert_cmpuint(link_credits(&link), ==, 0);
	link_grant(&link, 11);
	g_assert_cmpuint(link_record_start(&link, job, 0, 0), ==, 8);
	link_resume(&link, 8, 11);
	g_assert_cmpuint(link_credits(&link), ==, 1);
	g_assert_cmpuint(link_record_start(&link, job, 0, 0), ==, 9);
	link_free(&link);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/link/table-keeps-stragglers", test_lookup_after_removal_and_growth);
	g_test_add_func("/link/credits-never-go-back", test_credits_never_decrease);
	g_test_add_func("/link/gap-is-not-acknowledged", test_gap_is_not_acknowledged);
	g_test_add_func("/link/abandon-keeps-numbers", test_abandon_keeps_numbers);
	g_test_add_func("/link/resume", test_resume);
	return g_test_run();
}
