/* Tests the record of tasks that no entry starts. Guards against tasks that start although an agent
 * holds them, and against tasks that are held for good. */
#include <glib.h>

#include "task_holds.h"

enum {
	NOW_US = 100
};

static char *const first_task[] = {"a.0.0.0"};
static char *const second_task[] = {"a.0.0.1"};

static void hold_run(struct task_holds *holds, struct hold_source *source, char *const *task)
{
	const struct held_tasks tasks = {.runs = task, .run_count = 1};

	task_holds_replace(holds, source, &tasks);
}

static void test_replace(void)
{
	const struct held_tasks none = {0};
	struct task_holds holds;
	struct hold_source *source;

	task_holds_init(&holds);
	source = task_holds_add_source(&holds);
	hold_run(&holds, source, first_task);
	g_assert_true(task_holds_contains(&holds, "a", 0));
	g_assert_false(task_holds_contains(&holds, "a", 1));
	g_assert_false(task_holds_contains(&holds, "b", 0));
	hold_run(&holds, source, second_task);
	g_assert_false(task_holds_contains(&holds, "a", 0));
	g_assert_true(task_holds_contains(&holds, "a", 1));
	task_holds_replace(&holds, source, &none);
	g_assert_false(task_holds_contains(&holds, "a", 1));
	task_holds_free(&holds);
}

/* A task that two sources hold is free when both have released it. */
static void test_two_sources(void)
{
	struct task_holds holds;
	struct hold_source *first, *second;

	task_holds_init(&holds);
	first = task_holds_add_source(&holds);
	second = task_holds_add_source(&holds);
	hold_run(&holds, first, first_task);
	hold_run(&holds, second, first_task);
	task_holds_remove_source(&holds, first);
	g_assert_true(task_holds_contains(&holds, "a", 0));
	task_holds_remove_source(&holds, second);
	g_assert_false(task_holds_contains(&holds, "a", 0));
	task_holds_free(&holds);
}

/* A source that is not connected releases its tasks by time, a start later than a run; one that is
 * back holds them as long as it says. */
static void test_limit(void)
{
	const struct held_tasks tasks = {
		.runs = first_task, .run_count = 1, .starts = second_task, .start_count = 1};
	struct task_holds holds;
	struct hold_source *source;

	task_holds_init(&holds);
	source = task_holds_add_source(&holds);
	task_holds_replace(&holds, source, &tasks);
	task_holds_expire(&holds, INT64_MAX - 1);
	g_assert_true(task_holds_contains(&holds, "a", 0));
	task_holds_limit(source, NOW_US, 2 * NOW_US);
	task_holds_expire(&holds, NOW_US);
	g_assert_true(task_holds_contains(&holds, "a", 0));
	task_holds_expire(&holds, NOW_US + 1);
	g_assert_false(task_holds_contains(&holds, "a", 0));
	g_assert_true(task_holds_contains(&holds, "a", 1));
	task_holds_replace(&holds, source, &tasks);
	task_holds_expire(&holds, 3 * NOW_US);
	g_assert_true(task_holds_contains(&holds, "a", 0));
	task_holds_free(&holds);
}

/* Names from another process may have any form. */
static void test_odd_names(void)
{
	char *const names[] = {"", ".", "a", "....", "a.0.0.4294967296"};
	const struct held_tasks tasks = {.runs = names, .run_count = G_N_ELEMENTS(names)};
	struct task_holds holds;
	struct hold_source *source;

	task_holds_init(&holds);
	source = task_holds_add_source(&holds);
	task_holds_replace(&holds, source, &tasks);
	g_assert_false(task_holds_contains(&holds, "a", 0));
	task_holds_remove_source(&holds, source);
	g_assert_cmpuint(g_hash_table_size(holds.jobs), ==, 0);
	task_holds_free(&holds);
}

/* Guards against a hold that lasts for good because its source connects and is lost again and
 * again. */
static void test_limit_is_not_extended(void)
{
	struct task_holds holds;
	struct hold_source *source;

	task_holds_init(&holds);
	source = task_holds_add_source(&holds);
	hold_run(&holds, source, first_task);
	task_holds_limit(source, NOW_US, NOW_US);
	task_holds_limit(source, 2 * NOW_US, 2 * NOW_US);
	g_assert_true(task_holds_expire(&holds, NOW_US + 1));
	g_assert_false(task_holds_contains(&holds, "a", 0));
	task_holds_free(&holds);
}

/* Guards against a hold that is lost with the entry that has passed it on. */
static void test_abandoned_source(void)
{
	struct task_holds holds;
	struct hold_source *source;

	task_holds_init(&holds);
	source = task_holds_add_source(&holds);
	hold_run(&holds, source, first_task);
	task_holds_abandon_source(&holds, source, 1, NOW_US);
	g_assert_false(task_holds_expire(&holds, NOW_US));
	g_assert_true(task_holds_contains(&holds, "a", 0));
	g_assert_true(task_holds_expire(&holds, NOW_US + 1));
	g_assert_cmpuint(holds.sources->len, ==, 0);
	task_holds_abandon_source(&holds, task_holds_add_source(&holds), 1, NOW_US);
	g_assert_cmpuint(holds.sources->len, ==, 0);
	task_holds_free(&holds);
}

static const struct ident former = {.bytes = {1}};
static const struct ident later = {.bytes = {2}};

static void add_abandoned(struct task_holds *holds)
{
	struct hold_source *source =
		task_holds_add_passed_source(holds, &(struct hold_origin){.sender = "e",
									  .entry = "",
									  .process = former,
									  .agent = "agent",
									  .server = "server",
									  .since_us = NOW_US});

	hold_run(holds, source, first_task);
	task_holds_abandon_source(holds, source, NOW_US, INT64_MAX);
}

/* Guards against tasks that stay held after a later process of their agent has settled them, and
 * against the word of an earlier process or beside another server. */
static void test_agent_settled(void)
{
	struct task_holds holds;
	struct hold_source *other;

	task_holds_init(&holds);
	other = task_holds_add_source(&holds);
	hold_run(&holds, other, second_task);
	add_abandoned(&holds);
	g_assert_false(task_holds_agent_settled(&holds, "agent", &later, "server", NOW_US));
	g_assert_false(task_holds_agent_settled(&holds, "agent", &later, "other", NOW_US + 1));
	g_assert_false(task_holds_agent_settled(&holds, "agent", &later, "", NOW_US + 1));
	g_assert_false(task_holds_agent_settled(&holds, "other", &later, "server", NOW_US + 1));
	g_assert_true(task_holds_contains(&holds, "a", 0));
	g_assert_true(task_holds_agent_settled(&holds, "agent", &later, "server", NOW_US + 1));
	g_assert_false(task_holds_contains(&holds, "a", 0));
	g_assert_true(task_holds_contains(&holds, "a", 1));
	task_holds_free(&holds);
}

/* Guards against settled tasks that are held again because another entry still passes them on. */
static void test_settled_until_limit(void)
{
	struct task_holds holds;

	task_holds_init(&holds);
	add_abandoned(&holds);
	task_holds_limit(holds.sources->pdata[0], NOW_US, 2 * NOW_US);
	g_assert_false(task_holds_is_settled(&holds, "e", &former));
	g_assert_true(task_holds_agent_settled(&holds, "agent", &later, "server", NOW_US + 1));
	g_assert_false(task_holds_agent_settled(&holds, "agent", &later, "server", NOW_US + 1));
	task_holds_expire(&holds, 2 * NOW_US);
	g_assert_true(task_holds_is_settled(&holds, "e", &former));
	g_assert_false(task_holds_is_settled(&holds, "other", &former));
	g_assert_false(task_holds_is_settled(&holds, "e", &later));
	task_holds_expire(&holds, 2 * NOW_US + 1);
	g_assert_false(task_holds_is_settled(&holds, "e", &former));
	g_assert_cmpuint(holds.sources->len, ==, 0);
	task_holds_free(&holds);
}

/* Guards against tasks that stay held at an entry that the agent does not serve. */
static void test_process_settled(void)
{
	struct task_holds holds;

	task_holds_init(&holds);
	add_abandoned(&holds);
	g_assert_false(task_holds_process_settled(&holds, "other", &former));
	g_assert_false(task_holds_process_settled(&holds, "e", &later));
	g_assert_true(task_holds_contains(&holds, "a", 0));
	g_assert_true(task_holds_process_settled(&holds, "e", &former));
	g_assert_false(task_holds_contains(&holds, "a", 0));
	g_assert_true(task_holds_is_settled(&holds, "e", &former));
	task_holds_free(&holds);
}

/* Guards against a process that settles its own earlier word for longer than its connection, and
 * against its word from before it had given up the runs. */
static void test_agent_reconnected(void)
{
	struct task_holds holds;

	task_holds_init(&holds);
	add_abandoned(&holds);
	g_assert_false(task_holds_agent_settled(&holds, "agent", &former, "server", NOW_US + 1));
	g_assert_false(task_holds_agent_heard(&holds, &former, NOW_US - 1));
	g_assert_false(task_holds_agent_heard(&holds, &later, NOW_US));
	g_assert_true(task_holds_contains(&holds, "a", 0));
	g_assert_true(task_holds_agent_heard(&holds, &former, NOW_US));
	g_assert_false(task_holds_contains(&holds, "a", 0));
	g_assert_false(task_holds_is_settled(&holds, "e", &former));
	g_assert_true(task_holds_agent_lost(&holds, &former, 2 * NOW_US));
	g_assert_true(task_holds_contains(&holds, "a", 0));
	g_assert_false(task_holds_agent_heard(&holds, &former, NOW_US));
	task_holds_free(&holds);
}

/* Guards against tasks that nobody holds because another entry has told of them while their agent
 * still counted as connected here. */
static void test_agent_lost_later(void)
{
	struct task_holds holds;
	struct hold_source *source;

	task_holds_init(&holds);
	add_abandoned(&holds);
	source = holds.sources->pdata[0];
	task_holds_limit(source, NOW_US, 2 * NOW_US);
	task_holds_set_word(&holds, source, AGENT_WORD_FINAL);
	g_assert_false(task_holds_contains(&holds, "a", 0));
	g_assert_false(task_holds_agent_lost(&holds, &later, NOW_US));
	g_assert_true(task_holds_agent_lost(&holds, &former, NOW_US));
	g_assert_true(task_holds_contains(&holds, "a", 0));
	g_assert_false(task_holds_agent_lost(&holds, &former, NOW_US));
	task_holds_set_word(&holds, source, AGENT_WORD_FINAL);
	task_holds_replace(&holds, source,
			   &(struct held_tasks){.starts = second_task, .start_count = 1});
	g_assert_cmpuint(g_hash_table_size(holds.jobs), ==, 0);
	g_assert_true(task_holds_agent_lost(&holds, &former, NOW_US));
	g_assert_true(task_holds_contains(&holds, "a", 1));
	g_assert_false(task_holds_contains(&holds, "a", 0));
	task_holds_free(&holds);
}

/* Guards against what a lost entry has told of a connected agent, and is kept for good. */
static void test_agent_stays_connected(void)
{
	struct task_holds holds;
	struct hold_source *source;

	task_holds_init(&holds);
	source = task_holds_add_passed_source(
		&holds, &(struct hold_origin){.sender = "e", .entry = "", .process = former});
	task_holds_set_word(&holds, source, AGENT_WORD_FINAL);
	task_holds_replace(&holds, source,
			   &(struct held_tasks){.starts = first_task, .start_count = 1});
	task_holds_abandon_source(&holds, source, 1, NOW_US);
	g_assert_false(task_holds_expire(&holds, NOW_US));
	g_assert_cmpuint(holds.sources->len, ==, 1);
	g_assert_false(task_holds_expire(&holds, NOW_US + 1));
	g_assert_cmpuint(holds.sources->len, ==, 0);
	task_holds_free(&holds);
}

/* Guards against tasks that an entry has passed on over a link that is down, and does not name on
 * the next one. */
static void test_sender_returned(void)
{
	struct task_holds holds;

	task_holds_init(&holds);
	add_abandoned(&holds);
	g_assert_false(task_holds_sender_returned(&holds, "other"));
	g_assert_true(task_holds_sender_returned(&holds, "e"));
	g_assert_false(task_holds_contains(&holds, "a", 0));
	g_assert_cmpuint(holds.sources->len, ==, 0);
	task_holds_free(&holds);
}

/* Guards against work for each repeated message, and against names without limit. */
static void test_repeated_and_too_many(void)
{
	enum {
		MANY = 100000
	};
	char **names = g_new(char *, MANY);
	const struct held_tasks tasks = {.runs = names, .run_count = MANY};
	struct task_holds holds;
	struct hold_source *source;

	for (int i = 0; i < MANY; i++)
		names[i] = "a.0.0.1";
	task_holds_init(&holds);
	source = task_holds_add_source(&holds);
	g_assert_true(task_holds_replace(&holds, source, &tasks));
	g_assert_cmpuint(task_holds_count(source), <, MANY);
	g_assert_false(task_holds_replace(&holds, source, &tasks));
	task_holds_remove_source(&holds, source);
	g_assert_cmpuint(g_hash_table_size(holds.jobs), ==, 0);
	task_holds_free(&holds);
	g_free(names);
}

static bool is_first(const void *context, uint32_t index)
{
	return index == 0;
}

static bool awaits_lost_agent(const struct task_holds *holds, const char *job, int64_t since_us)
{
	return task_holds_await_lost_agent(holds, job, since_us, is_first, NULL);
}

/* Guards against a job that waits until its deadline for an agent that nobody hears, and against
 * the refusal of one whose task is released soon. */
static void test_await_lost_agent(void)
{
	struct task_holds holds;
	struct hold_source *source;

	task_holds_init(&holds);
	source = task_holds_add_source(&holds);
	hold_run(&holds, source, first_task);
	g_assert_false(awaits_lost_agent(&holds, "a", NOW_US));
	task_holds_set_lost(source, NOW_US);
	g_assert_false(awaits_lost_agent(&holds, "a", NOW_US - 1));
	g_assert_true(awaits_lost_agent(&holds, "a", NOW_US));
	g_assert_false(awaits_lost_agent(&holds, "aa", NOW_US));
	g_assert_false(awaits_lost_agent(&holds, "b", NOW_US));
	hold_run(&holds, source, second_task);
	g_assert_false(awaits_lost_agent(&holds, "a", NOW_US));
	hold_run(&holds, source, first_task);
	task_holds_set_word(&holds, source, AGENT_WORD_PENDING);
	g_assert_false(awaits_lost_agent(&holds, "a", NOW_US));
	g_assert_true(task_holds_contains(&holds, "a", 0));
	task_holds_set_word(&holds, source, AGENT_WORD_NONE);
	task_holds_set_lost(source, 0);
	g_assert_false(awaits_lost_agent(&holds, "a", NOW_US));
	task_holds_free(&holds);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/holds/replace", test_replace);
	g_test_add_func("/holds/two_sources", test_two_sources);
	g_test_add_func("/holds/limit", test_limit);
	g_test_add_func("/holds/odd_names", test_odd_names);
	g_test_add_func("/holds/limit_is_not_extended", test_limit_is_not_extended);
	g_test_add_func("/holds/abandoned_source", test_abandoned_source);
	g_test_add_func("/holds/agent_settled", test_agent_settled);
	g_test_add_func("/holds/settled_until_limit", test_settled_until_limit);
	g_test_add_func("/holds/process_settled", test_process_settled);
	g_test_add_func("/holds/agent_reconnected", test_agent_reconnected);
	g_test_add_func("/holds/agent_lost_later", test_agent_lost_later);
	g_test_add_func("/holds/agent_stays_connected", test_agent_stays_connected);
	g_test_add_func("/holds/await_lost_agent", test_await_lost_agent);
	g_test_add_func("/holds/sender_returned", test_sender_returned);
	g_test_add_func("/holds/repeated_and_too_many", test_repeated_and_too_many);
	return g_test_run();
}
