/* Tests what an entry takes from the connections of agents. */
#include "event.h"
#include "node_agent_links.h"

enum {
	SETTLE_US = 1399 * US_PER_MS,
	HOLD_US = 835 * US_PER_MS,
	HOST_RETURN_US = 60 * US_PER_SECOND,
	TURN_US = 150 * US_PER_MS,
	CPU = 1000
};

/* Defined in place of that of node_link.c. */
struct node_link {
	uint64_t number;
	int64_t received_us;
	const struct node_link_callbacks *callbacks;
	void *context;
};

struct process {
	uint8_t incarnation;
	const char *server;
	struct node_link link;
};

struct fixture {
	struct node_entry entry;
	uint64_t last_link_number;
	struct process former;
	struct process later;
	uint32_t lost;
};

void node_link_send(struct node_link *link, const Ggd__Frame *frame)
{
}

void node_link_close(struct node_link *link)
{
}

void node_link_fail(struct node_link *link, const char *reason)
{
	link->callbacks->down(link->context, link, reason);
}

uint64_t node_link_number(const struct node_link *link)
{
	return link->number;
}

int64_t node_link_last_received_us(const struct node_link *link)
{
	return link->received_us;
}

bool node_link_was_silent(const struct node_link *link)
{
	return false;
}

void node_link_set_callbacks(struct node_link *link, const struct node_link_callbacks *callbacks,
			     void *context)
{
	link->callbacks = callbacks;
	link->context = context;
}

static void job_finished(void *context, const char *id, void *job_context,
			 const struct job_end *end)
{
}

static void tasks_placed(void *context, const char *id, uint32_t tasks, uint32_t queued,
			 const char *servers, int64_t report_age_us)
{
}

static void run_ended(void *context, const char *id, uint32_t index, uint32_t attempt,
		      const char *server, enum run_outcome outcome, int64_t elapsed_us)
{
	((struct fixture *)context)->lost += outcome == RUN_LOST;
}

/* The hello message of PROCESS arrives on a new connection. */
static void greet(struct fixture *fixture, struct process *process)
{
	Ggd__Hello hello = GGD__HELLO__INIT;
	uint8_t incarnation[IDENT_BYTES] = {process->incarnation};

	hello.incarnation.data = incarnation;
	hello.incarnation.len = IDENT_BYTES;
	hello.name = (char *)"agent";
	process->link = (struct node_link){.number = ++fixture->last_link_number};
	g_assert_true(node_agent_links_register(&fixture->entry, &process->link, &hello));
}

static void lose(struct process *process)
{
	node_link_fail(&process->link, "closed by the peer");
}

/* A report of PROCESS with UNSETTLED runs arrives, and the inventory if LISTED. */
static void report(struct process *process, uint32_t unsettled, bool listed)
{
	Ggd__Frame frame = GGD__FRAME__INIT;
	Ggd__Report content = GGD__REPORT__INIT;
	Ggd__Inventory inventory = GGD__INVENTORY__INIT;
	Ggd__Room room = GGD__ROOM__INIT;
	Ggd__Server server = GGD__SERVER__INIT;

	server.id = (char *)process->server;
	server.service = (char *)"s";
	server.zone = (char *)"";
	server.cpu = room.cpu = CPU;
	server.memory_mb = room.memory_mb = 1;
	room.ready = true;
	room.speed = 1000;
	room.unsettled = unsettled;
	content.session = 1;
	content.settled_orders = 1;
	content.room = &room;
	content.server = listed ? &server : NULL;
	content.inventory = listed ? &inventory : NULL;
	frame.body_case = GGD__FRAME__BODY_REPORT;
	frame.report = &content;
	process->link.callbacks->frame(process->link.context, &process->link, &frame);
}

static void connect_process(struct fixture *fixture, struct process *process, uint32_t unsettled)
{
	greet(fixture, process);
	report(process, unsettled, true);
}

/* Time passes in which the later process, if it is connected, reports UNSETTLED runs. */
static void pass(struct fixture *fixture, int64_t time_us, bool connected, uint32_t unsettled)
{
	int64_t end_us = fixture->entry.loop.now_us + time_us;

	while (fixture->entry.loop.now_us < end_us) {
		fixture->entry.loop.now_us = MIN(fixture->entry.loop.now_us + TURN_US, end_us);
		dispatch_tick(&fixture->entry.dispatch, fixture->entry.loop.now_us);
		if (connected)
			report(&fixture->later, unsettled, false);
	}
}

static void order_run(struct fixture *fixture)
{
	struct node_entry *entry = &fixture->entry;
	GBytes *spec = g_bytes_new("x", 1);

	dispatch_submit(&entry->dispatch,
			&(struct job_request){.id = "a",
					      .queue = "q",
					      .service = "s",
					      .spec = spec,
					      .tasks = 1,
					      .need = {.cpu = CPU, .memory_mb = 1},
					      .estimate_us = 10 * US_PER_MS,
					      .max_attempts = 1,
					      .stretch = 2,
					      .slack_us = US_PER_SECOND,
					      .arrived_us = entry->loop.now_us,
					      .deadline_us = 100 * US_PER_SECOND},
			entry->loop.now_us);
	dispatch_pump(&entry->dispatch, entry->loop.now_us);
	node_agent_links_send_queued(entry);
	g_bytes_unref(spec);
}

/* Starts an entry that has ordered a run from an agent, which has said nothing of it. */
static void set_up(struct fixture *fixture, const void *unused)
{
	struct node_entry *entry = &fixture->entry;
	const struct dispatch_limits limits = {.max_jobs = 10,
					       .settle_timeout_us = SETTLE_US,
					       .hold_timeout_us = HOLD_US,
					       .host_return_us = HOST_RETURN_US,
					       .crash_retention_us = US_PER_SECOND,
					       .max_crashed_tasks = 1};
	const struct dispatch_callbacks callbacks = {.context = fixture,
						     .start_run = node_agent_links_start_run,
						     .stop_run = node_agent_links_stop_run,
						     .job_finished = job_finished,
						     .tasks_placed = tasks_placed,
						     .run_ended = run_ended};

	dispatch_init(&entry->dispatch, &limits, &callbacks, 1);
	evacuations_init(&entry->evacuations);
	entry->loop.now_us = US_PER_SECOND;
	entry->agents = g_ptr_array_new();
	entry->members.addresses = g_ptr_array_new();
	fixture->former = (struct process){.incarnation = 1, .server = "i-1"};
	fixture->later = (struct process){.incarnation = 2, .server = "i-1"};
	connect_process(fixture, &fixture->former, 0);
	order_run(fixture);
	g_assert_cmpuint(table_count(&entry->dispatch.runs), ==, 1);
}

static void tear_down(struct fixture *fixture, const void *unused)
{
	node_agent_links_free(&fixture->entry);
	g_ptr_array_free(fixture->entry.members.addresses, TRUE);
	dispatch_free(&fixture->entry.dispatch);
	evacuations_free(&fixture->entry.evacuations);
}

/* Guards against a run that is kept for 16 s because the connection of the process with it ends
 * while the next process of the agent is known, but not connected. */
static void test_former_process_ends_late(struct fixture *fixture, const void *unused)
{
	greet(fixture, &fixture->later);
	lose(&fixture->later);
	lose(&fixture->former);
	connect_process(fixture, &fixture->later, 0);
	/* The former process may not have ended. */
	pass(fixture, SETTLE_US, true, 0);
	g_assert_cmpuint(fixture->lost, ==, 0);
	pass(fixture, TURN_US, true, 0);
	g_assert_cmpuint(fixture->lost, ==, 1);
	g_assert_cmpuint(fixture->entry.agents->len, ==, 1);
}

/* Guards against runs that are settled by time when both processes of the agent that may know of
 * them are disconnected: their host may be suspended. */
static void test_later_process_ends(struct fixture *fixture, const void *unused)
{
	greet(fixture, &fixture->later);
	lose(&fixture->former);
	report(&fixture->later, 0, true);
	lose(&fixture->later);
	pass(fixture, HOST_RETURN_US, false, 0);
	g_assert_cmpuint(fixture->lost, ==, 0);
	pass(fixture, TURN_US, false, 0);
	g_assert_cmpuint(fixture->lost, ==, 1);
}

/* Guards against a run that is kept although the next process of the agent is back. */
static void test_later_process_returns(struct fixture *fixture, const void *unused)
{
	greet(fixture, &fixture->later);
	lose(&fixture->former);
	report(&fixture->later, 0, true);
	lose(&fixture->later);
	pass(fixture, SETTLE_US + TURN_US, false, 0);
	g_assert_cmpuint(fixture->lost, ==, 0);
	connect_process(fixture, &fixture->later, 0);
	g_assert_cmpuint(fixture->lost, ==, 1);
}

/* Guards against a run that is kept after its process has connected again and ended before
 * it sent its inventory. */
static void test_former_process_sends_no_inventory(struct fixture *fixture, const void *unused)
{
	lose(&fixture->former);
	pass(fixture, SETTLE_US + TURN_US, false, 0);
	greet(fixture, &fixture->former);
	connect_process(fixture, &fixture->later, 0);
	lose(&fixture->former);
	g_assert_cmpuint(fixture->lost, ==, 0);
	pass(fixture, TURN_US, true, 0);
	g_assert_cmpuint(fixture->lost, ==, 1);
	g_assert_cmpuint(fixture->entry.agents->len, ==, 1);
}

/* Guards against taking a start for void because the next process of the agent is connected, which
 * has not called the server yet. */
static void test_later_process_without_lists(struct fixture *fixture, const void *unused)
{
	connect_process(fixture, &fixture->later, 1);
	lose(&fixture->former);
	pass(fixture, SETTLE_US + TURN_US, true, 1);
	g_assert_cmpuint(fixture->lost, ==, 0);
	pass(fixture, TURN_US, true, 0);
	g_assert_cmpuint(fixture->lost, ==, 1);
}

/* Guards against taking a start for void because an earlier process of the agent, whose connection
 * has not ended, is connected. */
static void test_earlier_process_connected(struct fixture *fixture, const void *unused)
{
	struct process *later = &fixture->later;
	uint32_t runs;

	lose(&fixture->former);
	pass(fixture, HOST_RETURN_US + TURN_US, false, 0);
	g_assert_cmpuint(fixture->lost, ==, 1);
	greet(fixture, &fixture->former);
	connect_process(fixture, later, 0);
	dispatch_pump(&fixture->entry.dispatch, fixture->entry.loop.now_us);
	runs = table_count(&fixture->entry.dispatch.runs);
	g_assert_cmpuint(runs, ==, 1);
	lose(later);
	report(&fixture->former, 0, true);
	pass(fixture, SETTLE_US + TURN_US, false, 0);
	g_assert_cmpuint(fixture->lost, ==, 1);
}

/* Guards against runs that are settled by a process beside another server. */
static void test_later_process_elsewhere(struct fixture *fixture, const void *unused)
{
	fixture->later.server = "i-2";
	connect_process(fixture, &fixture->later, 0);
	lose(&fixture->former);
	pass(fixture, SETTLE_US + TURN_US, true, 0);
	g_assert_cmpuint(fixture->lost, ==, 0);
}

/* Guards against leaving out what another entry passes on of an agent's holds while the agent has
 * connected here and has not told them yet. */
static void test_holds_unknown_before_inventory(struct fixture *fixture, const void *unused)
{
	const uint8_t incarnation[IDENT_BYTES] = {fixture->former.incarnation};

	g_assert_cmpint(node_agent_links_word(&fixture->entry, incarnation, 0), ==,
			AGENT_WORD_FINAL);
	lose(&fixture->former);
	g_assert_cmpint(node_agent_links_word(&fixture->entry, incarnation, 0), ==,
			AGENT_WORD_NONE);
	greet(fixture, &fixture->former);
	g_assert_cmpint(node_agent_links_word(&fixture->entry, incarnation, 0), ==,
			AGENT_WORD_NONE);
	report(&fixture->former, 0, true);
	g_assert_cmpint(node_agent_links_word(&fixture->entry, incarnation, 0), ==,
			AGENT_WORD_FINAL);
}

/* Guards against the word of an agent from before it may have noticed that it has lost an entry. */
static void test_speaks_for_lost_entry(struct fixture *fixture, const void *unused)
{
	const uint8_t incarnation[IDENT_BYTES] = {fixture->former.incarnation};
	int64_t lost_us = fixture->entry.loop.now_us;

	fixture->former.link.received_us = lost_us + HOLD_US - 1;
	g_assert_cmpint(node_agent_links_word(&fixture->entry, incarnation, lost_us), ==,
			AGENT_WORD_PENDING);
	fixture->former.link.received_us = lost_us + HOLD_US;
	g_assert_cmpint(node_agent_links_word(&fixture->entry, incarnation, lost_us), ==,
			AGENT_WORD_FINAL);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	event_init("node_agent_links_test", "error");
	g_test_add("/node_agent_links/former_process_ends_late", struct fixture, NULL, set_up,
		   test_former_process_ends_late, tear_down);
	g_test_add("/node_agent_links/later_process_ends", struct fixture, NULL, set_up,
		   test_later_process_ends, tear_down);
	g_test_add("/node_agent_links/later_process_returns", struct fixture, NULL, set_up,
		   test_later_process_returns, tear_down);
	g_test_add("/node_agent_links/former_process_sends_no_inventory", struct fixture, NULL,
		   set_up, test_former_process_sends_no_inventory, tear_down);
	g_test_add("/node_agent_links/later_process_without_lists", struct fixture, NULL, set_up,
		   test_later_process_without_lists, tear_down);
	g_test_add("/node_agent_links/earlier_process_connected", struct fixture, NULL, set_up,
		   test_earlier_process_connected, tear_down);
	g_test_add("/node_agent_links/later_process_elsewhere", struct fixture, NULL, set_up,
		   test_later_process_elsewhere, tear_down);
	g_test_add("/node_agent_links/holds_unknown_before_inventory", struct fixture, NULL, set_up,
		   test_holds_unknown_before_inventory, tear_down);
	g_test_add("/node_agent_links/speaks_for_lost_entry", struct fixture, NULL, set_up,
		   test_speaks_for_lost_entry, tear_down);
	return g_test_run();
}
