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

/* What the entry has sent on all connections. */
static struct {
	GPtrArray
		*texts; /* one for each Orders: "VERSION ZONES, N starts", "-" without a version */
} sent;

struct process {
	uint8_t incarnation;
	const char *server;
	const char *zone;
	bool reports_evacuated;
	struct node_link link;
};

struct fixture {
	struct node_entry entry;
	uint64_t last_link_number;
	struct process former;
	struct process later;
	uint32_t lost;
	uint32_t refused; /* jobs for which no server is ready */
};

void node_link_send(struct node_link *link, const Ggd__Frame *frame)
{
	const Ggd__Evacuations *evacuations;
	GString *text;
	size_t starts = 0;

	if (frame->body_case != GGD__FRAME__BODY_ORDERS)
		return;
	evacuations = frame->orders->evacuations;
	text = g_string_new(evacuations ? NULL : "-");
	if (evacuations)
		g_string_append_printf(text, "%" G_GUINT64_FORMAT, evacuations->version);
	for (size_t i = 0; evacuations && i < evacuations->n_zones; i++)
		g_string_append_printf(text, " %s", evacuations->zones[i]);
	for (size_t i = 0; i < frame->orders->n_starts; i++)
		starts += frame->orders->starts[i]->n_runs;
	g_string_append_printf(text, ", %zu starts", starts);
	g_ptr_array_add(sent.texts, g_string_free(text, FALSE));
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
	((struct fixture *)context)->refused += end->status == STATUS_NO_CAPACITY_MATCH;
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
	server.zone = (char *)process->zone;
	server.cpu = room.cpu = CPU;
	server.memory_mb = room.memory_mb = 1;
	room.ready = true;
	room.speed = 1000;
	room.unsettled = unsettled;
	room.evacuated = process->reports_evacuated;
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

static void set_up_entry(struct fixture *fixture, const void *unused)
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

	sent.texts = g_ptr_array_new_with_free_func(g_free);
	dispatch_init(&entry->dispatch, &limits, &callbacks, 1);
	evacuations_init(&entry->evacuations);
	entry->loop.now_us = US_PER_SECOND;
	entry->agents = g_ptr_array_new();
	entry->members.addresses = g_ptr_array_new();
	fixture->former = (struct process){.incarnation = 1, .server = "i-1", .zone = ""};
	fixture->later = (struct process){.incarnation = 2, .server = "i-1", .zone = ""};
}

/* Starts an entry that has ordered a run from an agent, which has said nothing of it. */
static void set_up(struct fixture *fixture, const void *unused)
{
	set_up_entry(fixture, unused);
	connect_process(fixture, &fixture->former, 0);
	order_run(fixture);
	g_assert_cmpuint(table_count(&fixture->entry.dispatch.runs), ==, 1);
}

static void tear_down(struct fixture *fixture, const void *unused)
{
	node_agent_links_free(&fixture->entry);
	g_ptr_array_free(fixture->entry.members.addresses, TRUE);
	dispatch_free(&fixture->entry.dispatch);
	evacuations_free(&fixture->entry.evacuations);
	g_ptr_array_free(sent.texts, TRUE);
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

/* The entry learns of the zones in ZONES, a list that ends with NULL. */
static void learn_zones(struct fixture *fixture, uint64_t version, const char *const *zones)
{
	g_assert_true(evacuations_replace(&fixture->entry.evacuations, version, zones,
					  g_strv_length((char **)zones)));
	node_agent_links_evacuations_changed(&fixture->entry);
}

/* Sends what is queued, and checks that it is ORDERS, a list that ends with NULL. */
static void check_sent(struct fixture *fixture, const char *const *orders)
{
	node_agent_links_send_queued(&fixture->entry);
	g_ptr_array_add(sent.texts, NULL);
	g_assert_true(g_strv_equal((const char *const *)sent.texts->pdata, orders));
	g_ptr_array_set_size(sent.texts, 0);
}

/* Guards against a start that reaches an agent before the evacuated zones, as after its restart,
 * against a change that is not sent at once, and against a state that is sent with each order. */
static void test_evacuations_sent(struct fixture *fixture, const void *unused)
{
	static const char *const none[] = {NULL};
	static const char *const zones[] = {"a", "b", NULL};

	learn_zones(fixture, 5, zones);
	greet(fixture, &fixture->former);
	check_sent(fixture, (const char *const[]){"5 a b, 0 starts", NULL});
	report(&fixture->former, 0, true);
	order_run(fixture);
	check_sent(fixture, (const char *const[]){"-, 1 starts", NULL});
	check_sent(fixture, none);
	/* The set is the same, but an agent that knows its version passes no older one on. */
	learn_zones(fixture, 6, zones);
	check_sent(fixture, (const char *const[]){"6 a b, 0 starts", NULL});
	learn_zones(fixture, 7, none);
	check_sent(fixture, (const char *const[]){"7, 0 starts", NULL});
	check_sent(fixture, none);
	lose(&fixture->former);
	greet(fixture, &fixture->former);
	check_sent(fixture, (const char *const[]){"7, 0 starts", NULL});
	lose(&fixture->former);
	learn_zones(fixture, 8, zones + 1);
	check_sent(fixture, none);
	/* The start waits here, so that both go in one message. */
	connect_process(fixture, &fixture->former, 0);
	order_run(fixture);
	g_assert_cmpstr(sent.texts->pdata[0], ==, "8 b, 1 starts");
}

/* Guards against work for a server whose zone this entry knows to be evacuated while the agent
 * reports that it is ready, against work for one whose agent knows it first, and against an entry
 * that does not count as ready when all its zones are evacuated. */
static void test_server_of_evacuated_zone(struct fixture *fixture, const void *unused)
{
	static const char *const zones[] = {"a", NULL};
	static const char *const none[] = {NULL};
	struct process *process = &fixture->former;

	process->zone = "a";
	learn_zones(fixture, 5, zones);
	connect_process(fixture, process, 0);
	g_assert_cmpuint(node_agent_links_count_serving(&fixture->entry), ==, 1);
	order_run(fixture);
	g_assert_cmpuint(fixture->refused, ==, 1);
	report(process, 0, false);
	order_run(fixture);
	g_assert_cmpuint(fixture->refused, ==, 2);
	learn_zones(fixture, 6, none);
	/* The agent has learned of a later evacuation. */
	process->reports_evacuated = true;
	report(process, 0, false);
	order_run(fixture);
	g_assert_cmpuint(fixture->refused, ==, 3);
	g_assert_cmpuint(node_agent_links_count_serving(&fixture->entry), ==, 1);
	process->reports_evacuated = false;
	report(process, 0, false);
	order_run(fixture);
	g_assert_cmpuint(fixture->refused, ==, 3);
	g_assert_cmpuint(table_count(&fixture->entry.dispatch.runs), ==, 1);
}

/* Guards against work for a server that has moved to an evacuated zone, and against one that stays
 * excluded after it has left the zone. */
static void test_server_changes_zone(struct fixture *fixture, const void *unused)
{
	static const char *const zones[] = {"a", NULL};
	struct process *process = &fixture->former;

	process->zone = "b";
	learn_zones(fixture, 5, zones);
	connect_process(fixture, process, 0);
	process->zone = "a";
	report(process, 0, true);
	order_run(fixture);
	g_assert_cmpuint(fixture->refused, ==, 1);
	process->zone = "b";
	report(process, 0, true);
	order_run(fixture);
	g_assert_cmpuint(fixture->refused, ==, 1);
	g_assert_cmpuint(table_count(&fixture->entry.dispatch.runs), ==, 1);
}

/* The entry asks the agent of PROCESS to read the store. Its answer tells of ZONES, a list that
 * ends with NULL, and of CONFIG_VERSION, 0 for no valid configuration. */
static void relay_zones(struct fixture *fixture, struct process *process, uint64_t config_version,
			uint64_t version, char **zones)
{
	Ggd__Frame frame = GGD__FRAME__INIT;
	Ggd__ConfigDocument document = GGD__CONFIG_DOCUMENT__INIT;
	Ggd__Evacuations evacuations = GGD__EVACUATIONS__INIT;

	fixture->entry.loop.now_us += US_PER_SECOND;
	node_agent_links_request_config(&fixture->entry, fixture->entry.loop.now_us);
	evacuations.version = version;
	evacuations.zones = zones;
	evacuations.n_zones = g_strv_length(zones);
	document.version = config_version;
	document.evacuations = &evacuations;
	frame.body_case = GGD__FRAME__BODY_CONFIG;
	frame.config = &document;
	process->link.callbacks->frame(process->link.context, &process->link, &frame);
}

/* Starts an entry with the configuration TABLE and an agent in zone a. */
static void set_up_relay(struct fixture *fixture, const struct route_table *table)
{
	fixture->entry.config.loop = &fixture->entry.loop;
	fixture->entry.config.table = (struct route_table *)table;
	fixture->former.zone = "a";
	connect_process(fixture, &fixture->former, 0);
	node_agent_links_send_queued(&fixture->entry);
	g_ptr_array_set_size(sent.texts, 0);
}

/* Guards against an evacuation that an entry does not apply, or does not pass on to the agents,
 * when one of them has read it from the store, and against odd messages of one. */
static void test_relayed_evacuations(struct fixture *fixture, const void *unused)
{
	const struct route_table table = {.version = 1};
	struct process *process = &fixture->former;
	char *long_name = g_strnfill(NAME_BYTES, 'z');
	char *zones[] = {(char *)"a", NULL};
	char *long_zones[] = {(char *)"b", long_name, NULL};
	char *many_zones[EVACUATED_ZONES_MAX + 2] = {NULL};
	char *none[] = {NULL};

	for (size_t i = 0; i < EVACUATED_ZONES_MAX + 1; i++)
		many_zones[i] = (char *)"c";
	set_up_relay(fixture, &table);
	relay_zones(fixture, process, 1, 5, zones);
	check_sent(fixture, (const char *const[]){"5 a, 0 starts", NULL});
	order_run(fixture);
	g_assert_cmpuint(fixture->refused, ==, 1);
	relay_zones(fixture, process, 1, 4, none);
	relay_zones(fixture, process, 1, 6, long_zones);
	relay_zones(fixture, process, 1, 6, many_zones);
	g_assert_cmpuint(fixture->entry.evacuations.version, ==, 5);
	check_sent(fixture, (const char *const[]){NULL});
	relay_zones(fixture, process, 1, 6, none);
	check_sent(fixture, (const char *const[]){"6, 0 starts", NULL});
	order_run(fixture);
	g_assert_cmpuint(fixture->refused, ==, 1);
	g_assert_cmpuint(table_count(&fixture->entry.dispatch.runs), ==, 1);
	g_free(long_name);
}

/* Guards against an evacuation that an entry ignores because the configuration that its agent has
 * read beside it is missing or invalid. */
static void test_relayed_without_config(struct fixture *fixture, const void *unused)
{
	const struct route_table table = {.version = 1};
	char *zones[] = {(char *)"a", NULL};

	set_up_relay(fixture, &table);
	relay_zones(fixture, &fixture->former, 0, 5, zones);
	order_run(fixture);
	g_assert_cmpuint(fixture->refused, ==, 1);
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
	g_test_add("/node_agent_links/evacuations_sent", struct fixture, NULL, set_up_entry,
		   test_evacuations_sent, tear_down);
	g_test_add("/node_agent_links/server_of_evacuated_zone", struct fixture, NULL, set_up_entry,
		   test_server_of_evacuated_zone, tear_down);
	g_test_add("/node_agent_links/server_changes_zone", struct fixture, NULL, set_up_entry,
		   test_server_changes_zone, tear_down);
	g_test_add("/node_agent_links/relayed_evacuations", struct fixture, NULL, set_up_entry,
		   test_relayed_evacuations, tear_down);
	g_test_add("/node_agent_links/relayed_without_config", struct fixture, NULL, set_up_entry,
		   test_relayed_without_config, tear_down);
	return g_test_run();
}
