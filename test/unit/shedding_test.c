/* Tests of the division of scarce room among kinds of jobs. */
#include <glib.h>

#include "shedding.h"

enum {
	KINDS = 3,
	MS = 1000,
	SLACK_US = 100 * MS
};

/* Sets up three kinds of the priorities 0 to 2 that have offered as much work each. */
static void init_kinds(struct shedding_kind *kinds, struct shedding_kind **list, double lost)
{
	for (uint32_t i = 0; i < KINDS; i++) {
		kinds[i] = (struct shedding_kind){
			.priority = i, .offered_core_us = 1e6, .lost_core_us = lost * 1e6};
		list[i] = &kinds[i];
	}
}

static struct shedding_job make_job(const struct shedding_kind *kind)
{
	return (struct shedding_job){.kind = kind, .latest_start_us = SLACK_US};
}

/* At a usual load a short wait of some jobs is no reason to refuse any. */
static void test_usual_load(void)
{
	struct shedding_kind kinds[KINDS];
	struct shedding_kind *list[KINDS];
	struct shedding_job job;

	init_kinds(kinds, list, 0.01);
	kinds[2].queued_core_us = 0.3e6;
	shedding_divide(list, KINDS);
	for (uint32_t i = 0; i < KINDS; i++) {
		g_assert_cmpfloat(kinds[i].share, ==, 1);
		job = make_job(&kinds[i]);
		g_assert_cmpint(shedding_decide(&job, 0), ==, SHEDDING_START);
		g_assert_cmpint(shedding_start_by_us(&job), ==, SLACK_US);
		job.found_no_room = true;
		g_assert_cmpint(shedding_decide(&job, 0), ==, SHEDDING_WAIT);
	}
}

/* In an overload the shares add up to the work that is started, a higher priority gets more, and no
 * kind starves. */
static void test_shares(void)
{
	struct shedding_kind kinds[KINDS];
	struct shedding_kind *list[KINDS];
	double sum = 0;

	init_kinds(kinds, list, 0.5);
	shedding_divide(list, KINDS);
	for (uint32_t i = 0; i < KINDS; i++)
		sum += kinds[i].share;
	g_assert_cmpfloat_with_epsilon(sum, KINDS * 0.5, 0.001);
	g_assert_cmpfloat(kinds[0].share, >, kinds[1].share);
	g_assert_cmpfloat(kinds[1].share, >=, kinds[2].share);
	g_assert_cmpfloat(kinds[2].share, >=, 0.5 * 0.5);
}

/* A kind that got more than its share is refused at once, and takes only room that is left. A kind
 * that got less waits. Neither affects jobs that have begun or were told to wait. */
static void test_excess(void)
{
	struct shedding_kind kinds[KINDS];
	struct shedding_kind *list[KINDS];
	struct shedding_job job;

	init_kinds(kinds, list, 0.5);
	kinds[1].lost_core_us = 0.2e6;
	kinds[2].lost_core_us = 0.8e6;
	shedding_divide(list, KINDS);
	job = make_job(&kinds[1]);
	g_assert_cmpint(shedding_decide(&job, 0), ==, SHEDDING_MOVE_BACK);
	job.found_no_room = true;
	g_assert_cmpint(shedding_decide(&job, 0), ==, SHEDDING_REFUSE);
	job.admitted = true;
	g_assert_cmpint(shedding_decide(&job, 0), ==, SHEDDING_WAIT);
	job.admitted = false;
	job.begun = true;
	g_assert_cmpint(shedding_decide(&job, 0), ==, SHEDDING_WAIT);
	job = make_job(&kinds[2]);
	job.found_no_room = true;
	g_assert_cmpint(shedding_decide(&job, 0), ==, SHEDDING_WAIT);
	g_assert_cmpint(shedding_start_by_us(&job), <, SLACK_US / 2);
}

/* A job that can't start in time is refused, unless it has begun. */
static void test_too_late(void)
{
	struct shedding_kind kind = {.offered_core_us = 1e6, .share = 1};
	struct shedding_job job = make_job(&kind);

	job.found_no_room = true;
	job.admitted = true;
	job.wait_us = SLACK_US / 2;
	g_assert_cmpint(shedding_decide(&job, SLACK_US / 2), ==, SHEDDING_WAIT);
	g_assert_cmpint(shedding_decide(&job, SLACK_US / 2 + 1), ==, SHEDDING_REFUSE);
	job.begun = true;
	g_assert_cmpint(shedding_decide(&job, SLACK_US), ==, SHEDDING_WAIT);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/shedding/usual_load", test_usual_load);
	g_test_add_func("/shedding/shares", test_shares);
	g_test_add_func("/shedding/excess", test_excess);
	g_test_add_func("/shedding/too_late", test_too_late);
	return g_test_run();
}
