/* Tests what an entry takes from others of the tasks that it must not start. */
#include "event.h"
#include "node_holds.h"

enum {
	HOLD_US = 835 * US_PER_MS,
	HOST_RETURN_US = 60 * US_PER_SECOND,
	LEFT_MS = 100
};

/* Entry processes by the first byte of their incarnations. */
enum entry_process {
	OWN = 1,
	SENDER,
	LOST
};

struct fixture {
	struct node_entry entry;
	struct passed_holds *sender; /* NULL while its link is down */
};

static struct ident ident_of(enum entry_process process)
{
	return (struct ident){.bytes = {(uint8_t)process}};
}

static struct passed_holds *connect_entry(struct fixture *fixture, enum entry_process process)
{
	const struct ident incarnation = ident_of(process);

	return passed_holds_new(&fixture->entry, &incarnation);
}

static void set_up(struct fixture *fixture, const void *unused)
{
	const struct dispatch_limits limits = {.hold_timeout_us = HOLD_US,
					       .host_return_us = HOST_RETURN_US};
	const struct dispatch_callbacks callbacks = {.context = fixture};

	dispatch_init(&fixture->entry.dispatch, &limits, &callbacks, 1);
	fixture->entry.loop.now_us = US_PER_SECOND;
	fixture->entry.agents = g_ptr_array_new();
	fixture->entry.links.identity.incarnation = ident_of(OWN);
	fixture->sender = connect_entry(fixture, SENDER);
}

static void lose_sender(struct fixture *fixture)
{
	passed_holds_abandon(fixture->sender);
	fixture->sender = NULL;
}

static void tear_down(struct fixture *fixture, const void *unused)
{
	if (fixture->sender)
		lose_sender(fixture);
	g_ptr_array_free(fixture->entry.agents, TRUE);
	dispatch_free(&fixture->entry.dispatch);
}

/* The sender passes on a start, as the word of ENTRY unless that is the sender itself. */
static void pass_start(struct fixture *fixture, enum entry_process entry)
{
	const struct ident incarnation = ident_of(entry);
	uint8_t agent[IDENT_BYTES] = {1};
	char *starts[] = {"a.0.0.0"};
	char text[IDENT_HEX_BYTES] = "";
	Ggd__Holds message = GGD__HOLDS__INIT;
	Ggd__Holds *messages[] = {&message};

	message.agent.data = agent;
	message.agent.len = IDENT_BYTES;
	message.starts = starts;
	message.n_starts = G_N_ELEMENTS(starts);
	if (entry != SENDER) {
		message.entry = ident_format(&incarnation, text);
		message.runs_left_ms = message.starts_left_ms = LEFT_MS;
	}
	passed_holds_apply(fixture->sender, messages, G_N_ELEMENTS(messages));
}

static void pass_time(struct fixture *fixture, int64_t time_us)
{
	fixture->entry.loop.now_us += time_us;
	task_holds_expire(&fixture->entry.dispatch.holds, fixture->entry.loop.now_us);
}

static bool is_held(const struct fixture *fixture)
{
	return task_holds_contains(&fixture->entry.dispatch.holds, "a", 0);
}

/* Guards against a task that stays held after its entry, whose link was down, has settled it. */
static void test_sender_returns(struct fixture *fixture, const void *unused)
{
	pass_start(fixture, SENDER);
	lose_sender(fixture);
	fixture->sender = connect_entry(fixture, SENDER);
	g_assert_true(is_held(fixture));
	passed_holds_apply(fixture->sender, NULL, 0);
	g_assert_false(is_held(fixture));
}

/* Guards against a task that is held on the word of an entry that has settled it since. */
static void test_entry_heard_here(struct fixture *fixture, const void *unused)
{
	struct passed_holds *lost = connect_entry(fixture, LOST);

	passed_holds_apply(lost, NULL, 0);
	pass_start(fixture, LOST);
	g_assert_false(is_held(fixture));
	passed_holds_abandon(lost);
	pass_start(fixture, LOST);
	g_assert_true(is_held(fixture));
}

/* Guards against an entry that holds its own tasks on its word of before. */
static void test_own_word(struct fixture *fixture, const void *unused)
{
	pass_start(fixture, OWN);
	g_assert_false(is_held(fixture));
}

/* Guards against a task that is held for longer with each entry that is lost. */
static void test_limit_is_kept(struct fixture *fixture, const void *unused)
{
	pass_start(fixture, LOST);
	lose_sender(fixture);
	pass_time(fixture, LEFT_MS * US_PER_MS);
	g_assert_true(is_held(fixture));
	pass_time(fixture, 1);
	g_assert_false(is_held(fixture));
}

/* Guards against a task that is started because its entry has been lost for long: the host of its
 * run may be suspended. */
static void test_time_releases_nothing(struct fixture *fixture, const void *unused)
{
	pass_start(fixture, SENDER);
	lose_sender(fixture);
	pass_time(fixture, HOST_RETURN_US);
	g_assert_true(is_held(fixture));
	pass_time(fixture, 1);
	g_assert_false(is_held(fixture));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	event_init("node_holds_test", "error");
#define CASE(name)                                                                                 \
	g_test_add("/node_holds/" #name, struct fixture, NULL, set_up, test_##name, tear_down)
	CASE(sender_returns);
	CASE(entry_heard_here);
	CASE(own_word);
	CASE(limit_is_kept);
	CASE(time_releases_nothing);
	return g_test_run();
}
