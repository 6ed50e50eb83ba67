/* Plays agents to a real entry, and an entry to a real agent. Guards against messages that are
 * valid but stale, repeated or from another process, and that make the receiver believe that a run
 * has ended or never started while it goes on. */
#include <string.h>
#include <unistd.h>

#include "harness_peer.h"

#define OTHER_ENTRY_IP "127.0.0.3"

enum {
	SERVE_INTERVAL_US = 20000, /* between two reports of a played agent */
	PAUSE_MS = 500,		   /* for orders that must not arrive */
	LONG_PAUSE_MS = 2500, /* the same, longer than runs last after the loss of their agent */
	SILENT_MS = 1000,     /* longer than an agent waits for an entry */
	TURN_MS = 100,	      /* less than the time after which a silent agent is lost */
	TURNS = 3,
	SERVER_CPU = 8000,
	SPEED_PERMILLE = 1000,
	US_PER_MS = 1000,
	OUTCOME_DONE = 1 /* RUN_DONE */
};

/* An agent process that the test plays. */
struct played_agent {
	struct peer_conn conn;
	uint8_t incarnation;
	uint32_t session;
	uint64_t last_report; /* number of the last report with ends in this session */
	const char *name;
	const char *server;
	bool greeted;	 /* the entry's hello message has arrived */
	bool connected;	 /* the inventory was sent */
	bool unanswered; /* its server does not answer the starts */
	GArray *starts;	 /* uint64_t, runs that the entry has ordered */
};

static struct played_agent new_agent(uint8_t incarnation, const char *name, const char *server)
{
	return (struct played_agent){
		.conn.fd = -1,
		.incarnation = incarnation,
		.session = 1,
		.name = name,
		.server = server,
		.starts = g_array_new(FALSE, FALSE, sizeof(uint64_t)),
	};
}

static void send_report(struct played_agent *agent, Ggd__Report *report)
{
	Ggd__Frame frame = GGD__FRAME__INIT;
	Ggd__Room room = GGD__ROOM__INIT;
	Ggd__Server server = GGD__SERVER__INIT;

	room.ready = true;
	room.cpu = SERVER_CPU;
	room.memory_mb = SERVER_CPU;
	room.speed = SPEED_PERMILLE;
	server.id = (char *)agent->server;
	server.service = (char *)"svc";
	server.zone = (char *)"a";
	server.cpu = SERVER_CPU;
	server.memory_mb = SERVER_CPU;
	report->session = agent->session;
	report->room = &room;
	if (agent->starts && !agent->unanswered)
		report->settled_orders = agent->starts->len + 1;
	report->server = &server;
	frame.body_case = GGD__FRAME__BODY_REPORT;
	frame.report = report;
	peer_send(&agent->conn, &frame);
}

/* Sends the first report on a connection. RUNS are the runs that the agent still knows of an
 * earlier connection, or NULL if there are none. */
static void send_inventory(struct played_agent *agent, GArray *runs)
{
	Ggd__Report report = GGD__REPORT__INIT;
	Ggd__Inventory inventory = GGD__INVENTORY__INIT;

	inventory.last_report = agent->last_report;
	inventory.runs = runs ? (uint64_t *)(void *)runs->data : NULL;
	inventory.n_runs = runs ? runs->len : 0;
	report.inventory = &inventory;
	send_report(agent, &report);
	agent->connected = true;
}

static void send_done(struct played_agent *agent, uint64_t run)
{
	Ggd__Report report = GGD__REPORT__INIT;
	Ggd__RunEnd end = GGD__RUN_END__INIT;
	Ggd__RunEnd *ends[] = {&end};

	end.run = run;
	end.outcome = OUTCOME_DONE;
	end.elapsed_ms = 1;
	report.number = ++agent->last_report;
	report.ends = ends;
	report.n_ends = 1;
	send_report(agent, &report);
}

static void connect_agent(struct played_agent *agent, const struct peer_cluster *cluster)
{
	agent->conn = peer_connect(cluster);
	agent->greeted = false;
	agent->connected = false;
	peer_send_hello(&agent->conn, agent->incarnation, agent->name, "");
}

static void record_starts(struct played_agent *agent, const Ggd__Orders *orders)
{
	for (size_t i = 0; i < orders->n_starts; i++)
		g_array_append_vals(agent->starts, orders->starts[i]->runs,
				    (guint)orders->starts[i]->n_runs);
}

/* Reads what the entry has sent, and sends a report as a heartbeat. Returns whether the agent is
 * connected. */
static bool serve(struct played_agent *agent)
{
	Ggd__Report report = GGD__REPORT__INIT;
	Ggd__Frame *frame;

	while (agent->conn.received && (frame = peer_receive(&agent->conn))) {
		agent->greeted = true;
		if (frame->body_case == GGD__FRAME__BODY_ORDERS)
			record_starts(agent, frame->orders);
		ggd__frame__free_unpacked(frame, NULL);
	}
	if (agent->conn.fd < 0)
		return false;
	if (agent->connected)
		send_report(agent, &report);
	return true;
}

static void serve_for(struct played_agent *agent, int64_t ms)
{
	int64_t end = g_get_monotonic_time() + ms * US_PER_MS;

	while (g_get_monotonic_time() < end) {
		serve(agent);
		g_usleep(SERVE_INTERVAL_US);
	}
}

static bool has_starts(struct played_agent *agent, guint count)
{
	serve(agent);
	return agent->starts->len >= count;
}

static bool is_greeted(struct played_agent *agent)
{
	serve(agent);
	return agent->greeted;
}

static bool makes_ready(struct played_agent *agent, const struct peer_cluster *cluster)
{
	serve(agent);
	return peer_cluster_is_ready(cluster);
}

static void free_agent(struct played_agent *agent)
{
	peer_close(&agent->conn);
	g_array_free(agent->starts, TRUE);
}

static uint64_t first_run(const struct played_agent *agent)
{
	return g_array_index(agent->starts, uint64_t, 0);
}

/* A job of one task whose request waits on a separate thread. */
struct submission {
	const struct peer_cluster *cluster;
	const char *path;
	GThread *thread;
	struct harness_reply reply;
};

static void *run_submission(void *context)
{
	struct submission *submission = context;

	submission->reply =
		harness_call("POST", submission->cluster->client_url, submission->path,
			     "{\"spec\":\"s\",\"bestEffort\":true,\"phases\":[{\"count\":1,"
			     "\"cpu\":1000,\"memMb\":64,\"estMs\":100}]}");
	return NULL;
}

static void submit_as(struct submission *submission, const struct peer_cluster *cluster,
		      const char *path)
{
	submission->cluster = cluster;
	submission->path = path;
	submission->thread = g_thread_new("client", run_submission, submission);
}

static void submit(struct submission *submission, const struct peer_cluster *cluster)
{
	submit_as(submission, cluster, "/q/0000000000000001");
}

/* Checks that the job was done. */
static void check_done(struct submission *submission)
{
	g_thread_join(submission->thread);
	g_assert_cmpint(submission->reply.status, ==, 200);
	g_assert_cmpstr(json_string_value(json_object_get(submission->reply.body, "state")), ==,
			"completed");
	harness_reply_clear(&submission->reply);
}

/* Starts an entry and AGENT, and submits a job whose run the agent has received on return. */
static void start_run(struct peer_cluster *cluster, struct played_agent *agent,
		      struct submission *submission)
{
	peer_cluster_start(cluster, true, false);
	connect_agent(agent, cluster);
	HARNESS_WAIT(PEER_TIMEOUT_MS, is_greeted(agent));
	send_inventory(agent, NULL);
	HARNESS_WAIT(PEER_TIMEOUT_MS, makes_ready(agent, cluster));
	submit(submission, cluster);
	HARNESS_WAIT(PEER_TIMEOUT_MS, has_starts(agent, 1));
}

/* An agent beside another server that has the name of one whose connection is lost must not make
 * the entry start that one's runs again, however long that one is away: its host may be suspended.
 */
static void test_namesake_beside_another_server(void)
{
	struct played_agent agent = new_agent(1, "host", "i-1");
	struct played_agent namesake = new_agent(2, "host", "i-2");
	struct submission submission;
	struct peer_cluster cluster;

	start_run(&cluster, &agent, &submission);
	peer_close(&agent.conn);
	connect_agent(&namesake, &cluster);
	HARNESS_WAIT(PEER_TIMEOUT_MS, is_greeted(&namesake));
	send_inventory(&namesake, NULL);
	serve_for(&namesake, LONG_PAUSE_MS);
	g_assert_cmpuint(namesake.starts->len, ==, 0);
	connect_agent(&agent, &cluster);
	HARNESS_WAIT(PEER_TIMEOUT_MS, is_greeted(&agent));
	send_inventory(&agent, agent.starts);
	send_done(&agent, first_run(&agent));
	check_done(&submission);
	free_agent(&agent);
	free_agent(&namesake);
	peer_cluster_stop(&cluster);
}

/* The same agent must not make the entry start a run again whose start its server may still carry
 * out, as it was not answered. */
static void test_namesake_of_unanswered_agent(void)
{
	struct played_agent agent = new_agent(1, "host", "i-1");
	struct played_agent namesake = new_agent(2, "host", "i-2");
	struct submission submission;
	struct peer_cluster cluster;

	agent.unanswered = true;
	start_run(&cluster, &agent, &submission);
	peer_close(&agent.conn);
	g_usleep(PAUSE_MS * US_PER_MS / 5);
	connect_agent(&namesake, &cluster);
	HARNESS_WAIT(PEER_TIMEOUT_MS, is_greeted(&namesake));
	send_inventory(&namesake, NULL);
	serve_for(&namesake, LONG_PAUSE_MS);
	g_assert_cmpuint(namesake.starts->len, ==, 0);
	connect_agent(&agent, &cluster);
	HARNESS_WAIT(PEER_TIMEOUT_MS, is_greeted(&agent));
	send_inventory(&agent, agent.starts);
	send_done(&agent, first_run(&agent));
	check_done(&submission);
	free_agent(&agent);
	free_agent(&namesake);
	peer_cluster_stop(&cluster);
}

/* An agent that connects again after another process has taken its name must keep its runs. */
static void test_agent_returns_beside_namesake(void)
{
	struct played_agent agent = new_agent(1, "host", "i-1");
	struct played_agent namesake = new_agent(2, "host", "i-1");
	struct submission submission;
	struct peer_cluster cluster;

	start_run(&cluster, &agent, &submission);
	peer_close(&agent.conn);
	connect_agent(&namesake, &cluster);
	HARNESS_WAIT(PEER_TIMEOUT_MS, is_greeted(&namesake));
	connect_agent(&agent, &cluster);
	HARNESS_WAIT(PEER_TIMEOUT_MS, is_greeted(&agent));
	send_inventory(&agent, agent.starts);
	serve_for(&agent, TURN_MS);
	send_inventory(&namesake, NULL);
	for (int i = 0; i < TURNS; i++) {
		serve_for(&agent, TURN_MS);
		serve_for(&namesake, TURN_MS);
	}
	g_assert_cmpuint(agent.starts->len + namesake.starts->len, ==, 1);
	send_done(&agent, first_run(&agent));
	check_done(&submission);
	free_agent(&agent);
	free_agent(&namesake);
	peer_cluster_stop(&cluster);
}

/* A connection that the agent has given up must not replace a later one when it is read late: its
 * list of runs is older than the orders on that one. */
static void test_given_up_connection(void)
{
	struct played_agent agent = new_agent(1, "host", "i-1");
	struct played_agent stale = new_agent(1, "host", "i-1");
	struct submission submission;
	struct peer_cluster cluster;

	peer_cluster_start(&cluster, true, false);
	connect_agent(&agent, &cluster);
	HARNESS_WAIT(PEER_TIMEOUT_MS, is_greeted(&agent));
	send_inventory(&agent, NULL);
	HARNESS_WAIT(PEER_TIMEOUT_MS, makes_ready(&agent, &cluster));
	/* The entry closes a connection without a hello message after 200 ms, and the test then
	 * checks nothing. */
	stale.conn = peer_connect(&cluster);
	peer_close(&agent.conn);
	connect_agent(&agent, &cluster);
	HARNESS_WAIT(PEER_TIMEOUT_MS, is_greeted(&agent));
	send_inventory(&agent, agent.starts);
	submit(&submission, &cluster);
	HARNESS_WAIT(PEER_TIMEOUT_MS, has_starts(&agent, 1));
	peer_send_hello(&stale.conn, stale.incarnation, stale.name, "");
	send_inventory(&stale, stale.starts);
	for (int i = 0; i < TURNS; i++) {
		serve_for(&agent, TURN_MS);
		serve_for(&stale, TURN_MS);
	}
	g_assert_cmpuint(agent.starts->len + stale.starts->len, ==, 1);
	g_assert_cmpint(agent.conn.fd, >=, 0);
	send_done(&agent, first_run(&agent));
	check_done(&submission);
	free_agent(&agent);
	free_agent(&stale);
	peer_cluster_stop(&cluster);
}

/* The entry that the test plays to an agent. */
struct played_entry {
	struct peer_cluster cluster;
	int listener;
	struct peer_conn conn;
	uint32_t session; /* of the last report */
	bool ready;	  /* according to the last report */
	bool listed;	  /* the inventory has arrived on this connection */
	GArray *ends;	  /* struct reported_end */
};

struct reported_end {
	uint64_t run;
	uint32_t outcome;
};

static void accept_agent(struct played_entry *entry)
{
	entry->conn = peer_accept(entry->listener);
	entry->listed = false;
	entry->ready = false;
	peer_send_hello(&entry->conn, 1, "entry0", entry->cluster.entry_address);
}

static void handle_report(struct played_entry *entry, const Ggd__Report *report)
{
	for (size_t i = 0; i < report->n_ends; i++) {
		const struct reported_end end = {report->ends[i]->run, report->ends[i]->outcome};

		g_array_append_val(entry->ends, end);
	}
	entry->session = report->session;
	entry->listed = entry->listed || report->inventory;
	entry->ready = report->room && report->room->ready;
}

static void send_orders(struct played_entry *entry, uint64_t number, uint64_t report_ack,
			uint64_t run)
{
	Ggd__Frame frame = GGD__FRAME__INIT;
	Ggd__Orders orders = GGD__ORDERS__INIT;
	Ggd__StartBatch batch = GGD__START_BATCH__INIT;
	Ggd__StartBatch *batches[] = {&batch};
	uint32_t index = (uint32_t)run;
	uint32_t attempt = 1;

	batch.job = (char *)"0000000000000001";
	batch.cpu = 1000;
	batch.memory_mb = 1;
	batch.start_within_ms = PEER_TIMEOUT_MS;
	batch.runs = &run;
	batch.indexes = &index;
	batch.attempts = &attempt;
	batch.n_runs = batch.n_indexes = batch.n_attempts = 1;
	orders.session = entry->session;
	orders.number = number;
	orders.report_ack = report_ack;
	orders.starts = batches;
	orders.n_starts = number > 0;
	frame.body_case = GGD__FRAME__BODY_ORDERS;
	frame.orders = &orders;
	peer_send(&entry->conn, &frame);
}

/* Reads what the agent has sent. Accepts its next connection when it has closed this one. */
static void read_reports(struct played_entry *entry)
{
	Ggd__Frame *frame;

	if (entry->conn.fd < 0) {
		peer_close(&entry->conn);
		accept_agent(entry);
	}
	while ((frame = peer_receive(&entry->conn))) {
		if (frame->body_case == GGD__FRAME__BODY_REPORT)
			handle_report(entry, frame->report);
		ggd__frame__free_unpacked(frame, NULL);
	}
}

/* Reads what the agent has sent, and sends a heartbeat. */
static void serve_agent(struct played_entry *entry)
{
	read_reports(entry);
	if (entry->conn.fd >= 0)
		send_orders(entry, 0, 0, 0);
}

/* Returns whether the agent has sent its inventory on a connection on which it gets no orders. */
static bool is_listed_unheard(struct played_entry *entry)
{
	read_reports(entry);
	return entry->listed;
}

static bool is_listed(struct played_entry *entry)
{
	serve_agent(entry);
	return entry->listed;
}

static bool agent_is_ready(struct played_entry *entry)
{
	serve_agent(entry);
	return entry->ready;
}

static bool has_ends(struct played_entry *entry, guint count)
{
	serve_agent(entry);
	return entry->ends->len >= count;
}

/* Starts an agent that is ready for orders on return. */
static void start_played_entry(struct played_entry *entry)
{
	*entry = (struct played_entry){
		.ends = g_array_new(FALSE, FALSE, sizeof(struct reported_end))};
	peer_cluster_start(&entry->cluster, false, true);
	entry->listener = peer_listen(&entry->cluster);
	accept_agent(entry);
	HARNESS_WAIT(PEER_TIMEOUT_MS, agent_is_ready(entry));
}

static void stop_played_entry(struct played_entry *entry)
{
	peer_close(&entry->conn);
	g_array_free(entry->ends, TRUE);
	peer_cluster_stop(&entry->cluster);
}

static void check_end(const struct played_entry *entry, guint index, uint64_t run)
{
	const struct reported_end *end = &g_array_index(entry->ends, struct reported_end, index);

	g_assert_cmpuint(end->run, ==, run);
	g_assert_cmpuint(end->outcome, ==, OUTCOME_DONE);
}

/* Orders that arrive twice must not make the agent report a run that goes on as never started. */
static void test_repeated_orders(void)
{
	struct played_entry entry;

	start_played_entry(&entry);
	send_orders(&entry, 1, 0, 7);
	send_orders(&entry, 1, 0, 7);
	HARNESS_WAIT(PEER_TIMEOUT_MS, has_ends(&entry, 1));
	check_end(&entry, 0, 7);
	g_assert_cmpint(peer_cluster_counter(&entry.cluster, "starts"), ==, 1);
	stop_played_entry(&entry);
}

/* Orders with a number that jumps ahead must neither be carried out nor make the agent take the
 * later ones for repeated. */
static void test_orders_number_jumps(void)
{
	struct played_entry entry;

	start_played_entry(&entry);
	entry.listed = false;
	send_orders(&entry, UINT64_MAX, 0, 7);
	HARNESS_WAIT(PEER_TIMEOUT_MS, is_listed(&entry)); /* on the agent's next connection */
	send_orders(&entry, 1, 0, 8);
	HARNESS_WAIT(PEER_TIMEOUT_MS, has_ends(&entry, 1));
	check_end(&entry, 0, 8);
	g_assert_cmpint(peer_cluster_counter(&entry.cluster, "starts"), ==, 1);
	stop_played_entry(&entry);
}

static void set_run_ms(const struct played_entry *entry, int run_ms)
{
	char *body = g_strdup_printf("{\"run_ms\":%d}", run_ms);

	g_assert_cmpint(harness_status("POST", entry->cluster.platform_url, "/control", body), ==,
			200);
	g_free(body);
}

/* Sends a heartbeat that was sent at ENDED_US and has arrived only now. */
static bool has_end_after_late_heartbeat(struct played_entry *entry, int64_t ended_us)
{
	entry->conn.delay_ms = (g_get_monotonic_time() - ended_us) / US_PER_MS;
	return has_ends(entry, 1);
}

/* The last messages of an entry, which the network delivers long after its end, must not keep its
 * runs: its clients send their jobs again. */
static void test_late_heartbeats(void)
{
	struct played_entry entry;
	int64_t ended_us;

	start_played_entry(&entry);
	set_run_ms(&entry, LONG_PAUSE_MS);
	send_orders(&entry, 1, 0, 7);
	ended_us = g_get_monotonic_time();
	HARNESS_WAIT(PEER_TIMEOUT_MS, has_end_after_late_heartbeat(&entry, ended_us));
	g_assert_cmpuint(g_array_index(entry.ends, struct reported_end, 0).outcome, !=,
			 OUTCOME_DONE);
	stop_played_entry(&entry);
}

/* Messages that a longer path delays all alike must not cost the runs of their entry. */
static void test_longer_path(void)
{
	struct played_entry entry;

	start_played_entry(&entry);
	set_run_ms(&entry, SILENT_MS);
	entry.conn.delay_ms = 2 * TURN_MS;
	send_orders(&entry, 1, 0, 7);
	HARNESS_WAIT(PEER_TIMEOUT_MS, has_ends(&entry, 1));
	check_end(&entry, 0, 7);
	stop_played_entry(&entry);
}

/* An acknowledgement of reports that were never sent must not make the agent drop the ends of
 * those that it sends next. When one of these is lost with its connection, the entry would take
 * the run for one that never started. */
static void test_acknowledgement_beyond_reports(void)
{
	struct played_entry entry;

	start_played_entry(&entry);
	send_orders(&entry, 1, 0, 7);
	HARNESS_WAIT(PEER_TIMEOUT_MS, has_ends(&entry, 1));
	send_orders(&entry, 0, UINT64_MAX, 0);
	serve_agent(&entry);
	g_usleep(PAUSE_MS * US_PER_MS / 5);
	g_array_set_size(entry.ends, 0);
	peer_close(&entry.conn);
	HARNESS_WAIT(PEER_TIMEOUT_MS, is_listed(&entry));
	g_assert_cmpuint(entry.ends->len, ==, 1);
	check_end(&entry, 0, 7);
	stop_played_entry(&entry);
}

/* An inventory that the entry has not received must not make the agent drop the ends of runs and
 * then list none of these: the entry would take the runs for ones that never started. */
static void test_unheard_inventory(void)
{
	struct played_entry entry;

	start_played_entry(&entry);
	send_orders(&entry, 1, 0, 7);
	HARNESS_WAIT(PEER_TIMEOUT_MS, has_ends(&entry, 1));
	peer_close(&entry.conn);
	g_usleep(SILENT_MS * US_PER_MS);
	HARNESS_WAIT(PEER_TIMEOUT_MS, is_listed_unheard(&entry));
	peer_close(&entry.conn);
	g_array_set_size(entry.ends, 0);
	entry.listed = false;
	HARNESS_WAIT(PEER_TIMEOUT_MS, is_listed(&entry));
	g_assert_cmpuint(entry.ends->len, ==, 1);
	check_end(&entry, 0, 7);
	stop_played_entry(&entry);
}

/* Reports of an agent that has dropped the entry and numbers them from 1 again must not be taken
 * for repeated ones: the ends of all later runs would be ignored. */
static void test_reports_of_later_session(void)
{
	struct played_agent agent = new_agent(1, "host", "i-1");
	struct submission submission;
	struct peer_cluster cluster;

	start_run(&cluster, &agent, &submission);
	send_done(&agent, first_run(&agent));
	check_done(&submission);
	submit_as(&submission, &cluster, "/q/0000000000000002");
	HARNESS_WAIT(PEER_TIMEOUT_MS, has_starts(&agent, 2));
	peer_close(&agent.conn);
	g_array_set_size(agent.starts, 0);
	connect_agent(&agent, &cluster);
	HARNESS_WAIT(PEER_TIMEOUT_MS, is_greeted(&agent));
	agent.session++;
	agent.last_report = 0;
	send_inventory(&agent, agent.starts);
	/* The run was lost with the session before, so its task is ordered again. */
	HARNESS_WAIT(PEER_TIMEOUT_MS, has_starts(&agent, 1));
	send_done(&agent, first_run(&agent));
	check_done(&submission);
	free_agent(&agent);
	peer_cluster_stop(&cluster);
}

/* A report whose number jumps ahead must not make the entry take all later ones for repeated. */
static void test_report_number_jumps(void)
{
	struct played_agent agent = new_agent(1, "host", "i-1");
	Ggd__Report report = GGD__REPORT__INIT;
	struct submission submission;
	struct peer_cluster cluster;

	start_run(&cluster, &agent, &submission);
	report.number = UINT64_MAX;
	send_report(&agent, &report);
	serve_for(&agent, TURN_MS);
	if (agent.conn.fd < 0) {
		connect_agent(&agent, &cluster);
		HARNESS_WAIT(PEER_TIMEOUT_MS, is_greeted(&agent));
		send_inventory(&agent, agent.starts);
	}
	send_done(&agent, first_run(&agent));
	check_done(&submission);
	free_agent(&agent);
	peer_cluster_stop(&cluster);
}

/* Returns whether an entry that connects now is told that a start at a lost agent may be carried
 * out. */
static bool is_told(const struct peer_cluster *cluster)
{
	struct peer_conn conn = peer_connect(cluster);
	int64_t end = g_get_monotonic_time() + TURN_MS * US_PER_MS;
	bool told = false;

	peer_send_hello(&conn, 3, "entry1", OTHER_ENTRY_IP ":1");
	while (!told && conn.fd >= 0 && g_get_monotonic_time() < end) {
		Ggd__Frame *frame = peer_receive(&conn);
		const Ggd__PeerState *state =
			frame && frame->body_case == GGD__FRAME__BODY_PEER ? frame->peer : NULL;

		told = state && state->answer && state->n_holds == 1 &&
		       state->holds[0]->n_starts == 1 &&
		       strcmp(state->holds[0]->starts[0], "0000000000000001.0.0.0") == 0;
		if (frame)
			ggd__frame__free_unpacked(frame, NULL);
	}
	peer_close(&conn);
	return told;
}

/* An entry that has just started must be told of a start that only its agent, which is lost, and
 * the entry that ordered it knew of. */
static void test_start_at_lost_agent_is_told(void)
{
	struct played_agent agent = new_agent(1, "host", "i-1");
	struct submission submission;
	struct peer_cluster cluster;

	agent.unanswered = true;
	start_run(&cluster, &agent, &submission);
	peer_close(&agent.conn);
	HARNESS_WAIT(PEER_TIMEOUT_MS, is_told(&cluster));
	free_agent(&agent);
	g_thread_join(submission.thread);
	harness_reply_clear(&submission.reply);
	peer_cluster_stop(&cluster);
}

static void send_answer(struct peer_conn *conn)
{
	char *tasks[] = {"0000000000000001.0.0.0"};
	uint8_t incarnation[PEER_IDENT_BYTES] = {9};
	Ggd__Frame frame = GGD__FRAME__INIT;
	Ggd__PeerState state = GGD__PEER_STATE__INIT;
	Ggd__Holds holds = GGD__HOLDS__INIT;
	Ggd__Holds *all[] = {&holds};

	holds.agent.data = incarnation;
	holds.agent.len = sizeof(incarnation);
	holds.starts = tasks;
	holds.n_starts = 1;
	state.answer = true;
	state.holds = all;
	state.n_holds = 1;
	frame.body_case = GGD__FRAME__BODY_PEER;
	frame.peer = &state;
	peer_send(conn, &frame);
}

/* An entry must not start a task that another one, to which it has just connected, holds. */
static void test_answer_is_heeded(void)
{
	struct played_agent agent = new_agent(1, "host", "i-1");
	int port = harness_reserve_port();
	char *address = g_strdup_printf(OTHER_ENTRY_IP ":%d", port);
	int listener = peer_listen_at(OTHER_ENTRY_IP, port);
	struct submission submission;
	struct peer_cluster cluster;
	struct peer_conn first, conn;

	peer_cluster_start(&cluster, true, false);
	connect_agent(&agent, &cluster);
	HARNESS_WAIT(PEER_TIMEOUT_MS, is_greeted(&agent));
	send_inventory(&agent, NULL);
	HARNESS_WAIT(PEER_TIMEOUT_MS, makes_ready(&agent, &cluster));
	first = peer_connect(&cluster);
	peer_send_hello(&first, 3, "entry1", address);
	conn = peer_accept(listener);
	peer_send_hello(&conn, 3, "entry1", address);
	send_answer(&conn);
	serve_for(&agent, TURN_MS);
	submit(&submission, &cluster);
	serve_for(&agent, PAUSE_MS);
	g_assert_cmpuint(agent.starts->len, ==, 0);
	free_agent(&agent);
	peer_close(&conn);
	peer_close(&first);
	close(listener);
	g_free(address);
	g_thread_join(submission.thread);
	harness_reply_clear(&submission.reply);
	peer_cluster_stop(&cluster);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/stale_peer/namesake/beside_another_server",
			test_namesake_beside_another_server);
	g_test_add_func("/stale_peer/namesake/unanswered", test_namesake_of_unanswered_agent);
	g_test_add_func("/stale_peer/namesake/agent_returns", test_agent_returns_beside_namesake);
	g_test_add_func("/stale_peer/given_up_connection", test_given_up_connection);
	g_test_add_func("/stale_peer/repeated_orders", test_repeated_orders);
	g_test_add_func("/stale_peer/orders_number_jumps", test_orders_number_jumps);
	g_test_add_func("/stale_peer/late_heartbeats", test_late_heartbeats);
	g_test_add_func("/stale_peer/longer_path", test_longer_path);
	g_test_add_func("/stale_peer/acknowledgement_beyond_reports",
			test_acknowledgement_beyond_reports);
	g_test_add_func("/stale_peer/unheard_inventory", test_unheard_inventory);
	g_test_add_func("/stale_peer/reports_of_later_session", test_reports_of_later_session);
	g_test_add_func("/stale_peer/report_number_jumps", test_report_number_jumps);
	g_test_add_func("/stale_peer/start_at_lost_agent_is_told",
			test_start_at_lost_agent_is_told);
	g_test_add_func("/stale_peer/answer_is_heeded", test_answer_is_heeded);
	return g_test_run();
}
