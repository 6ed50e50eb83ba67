/* Tests an agent against an entry simulated by this program, which can send late and repeated
 * messages, and lose messages by breaking the connection. */
#include <poll.h>
#include <signal.h>
#include <string.h>
#include <zmq.h>

#include "channel.h"
#include "harness.h"
#include "timer.h"

enum {
	TIMEOUT_MS = 10000,
	SLOTS = 2,
	OBSERVATION_US = 300000, /* how long to check that nothing happens */
};

struct fake_entry {
	struct harness *harness;
	void *zmq;
	struct channel channel;
	struct channel_route route;
	struct ident incarnation;
	struct ident agent;
	uint64_t epoch;
	uint64_t granted_credits;
	uint64_t consumed_credits;
	uint64_t result_ack;
	uint64_t config_version;
	int64_t sent_time_lag_us; /* subtracted from the send time in messages */
	bool server_open;	  /* from the agent's latest ServerInfo */
};

static void fake_send(struct fake_entry *entry, Gg__Envelope *envelope)
{
	envelope->sender = channel_ident_field(&entry->incarnation);
	envelope->epoch = entry->epoch;
	envelope->sent_us = timer_clock_us() - entry->sent_time_lag_us;
	envelope->consumed = entry->consumed_credits;
	envelope->result_ack = entry->result_ack;
	envelope->config_version = entry->config_version;
	g_assert_cmpint(channel_send(&entry->channel, &entry->route, envelope, NULL), ==,
			STATUS_OK);
}

static void record_header(struct fake_entry *entry, const Gg__Envelope *envelope)
{
	const Gg__ServerInfo *server = NULL;

	entry->granted_credits = MAX(entry->granted_credits, envelope->granted);
	if (envelope->body_case == GG__ENVELOPE__BODY_HELLO)
		server = envelope->hello->server;
	if (envelope->body_case == GG__ENVELOPE__BODY_HEARTBEAT)
		server = envelope->heartbeat->server;
	if (server)
		entry->server_open = server->open;
}

/* Returns the next message, or NULL if none arrives within TIMEOUT_US. */
static Gg__Envelope *receive_next(struct fake_entry *entry, int64_t timeout_us)
{
	zmq_pollitem_t item = {.socket = entry->channel.socket, .events = ZMQ_POLLIN};
	Gg__Envelope *envelope = NULL;

	if (zmq_poll(&item, 1, (long)(timeout_us / 1000)) <= 0)
		return NULL;
	g_assert_cmpint(channel_receive(&entry->channel, &entry->route, &envelope, NULL), ==,
			STATUS_OK);
	entry->epoch = MAX(entry->epoch, envelope->epoch);
	channel_get_ident(&envelope->sender, &entry->agent);
	record_header(entry, envelope);
	return envelope;
}

/* Returns the next message with a body of KIND. Discards other messages after recording their
 * headers. */
static Gg__Envelope *receive_kind(struct fake_entry *entry, Gg__Envelope__BodyCase kind)
{
	int64_t end_us = timer_clock_us() + (int64_t)TIMEOUT_MS * 1000;

	for (;;) {
		int64_t left_us = end_us - timer_clock_us();
		Gg__Envelope *envelope = left_us > 0 ? receive_next(entry, left_us) : NULL;

		if (!envelope)
			g_error("no message of kind %d", (int)kind);
		if (envelope->body_case == kind)
			return envelope;
		channel_free_envelope(envelope);
	}
}

static void send_heartbeat(struct fake_entry *entry)
{
	Gg__Envelope envelope = GG__ENVELOPE__INIT;
	Gg__Heartbeat heartbeat = GG__HEARTBEAT__INIT;

	envelope.body_case = GG__ENVELOPE__BODY_HEARTBEAT;
	envelope.heartbeat = &heartbeat;
	fake_send(entry, &envelope);
}

static void wait_for_credits(struct fake_entry *entry, uint64_t granted)
{
	while (entry->granted_credits < granted) {
		channel_free_envelope(receive_kind(entry, GG__ENVELOPE__BODY_HEARTBEAT));
		send_heartbeat(entry);
	}
}

/* Receives the agent's Hello and replies with a Welcome. */
static void answer_hello(struct fake_entry *entry)
{
	Gg__Envelope envelope = GG__ENVELOPE__INIT;
	Gg__Welcome body = GG__WELCOME__INIT;

	channel_free_envelope(receive_kind(entry, GG__ENVELOPE__BODY_HELLO));
	envelope.body_case = GG__ENVELOPE__BODY_WELCOME;
	envelope.welcome = &body;
	fake_send(entry, &envelope);
}

static void send_start(struct fake_entry *entry, uint64_t seq, const char *body)
{
	static const struct ident job = {{1}};
	Gg__Envelope envelope = GG__ENVELOPE__INIT;
	Gg__StartBatch batch = GG__START_BATCH__INIT;
	Gg__Start start = GG__START__INIT;
	Gg__Start *list = &start;

	start.seq = seq;
	start.job = channel_ident_field(&job);
	start.task = (uint32_t)seq;
	start.body = (ProtobufCBinaryData){.len = strlen(body), .data = (uint8_t *)body};
	start.limit_ms = TIMEOUT_MS;
	batch.n_starts = 1;
	batch.starts = &list;
	entry->consumed_credits = MAX(entry->consumed_credits, seq);
	envelope.body_case = GG__ENVELOPE__BODY_START_BATCH;
	envelope.start_batch = &batch;
	fake_send(entry, &envelope);
}

/* Receives a batch that must hold only the result of start SEQ, and checks that the
 * result has STATUS and NOT_STARTED. Acknowledges the result if ACK is set. */
static void expect_result(struct fake_entry *entry, uint64_t seq, const char *status,
			  bool not_started, bool ack)
{
	Gg__Envelope *envelope = receive_kind(entry, GG__ENVELOPE__BODY_RESULT_BATCH);
	const Gg__Result *result = envelope->result_batch->results[0];

	g_assert_cmpuint(envelope->result_batch->n_results, ==, 1);
	g_assert_cmpuint(result->seq, ==, seq);
	g_assert_cmpstr(result->status, ==, status);
	g_assert_cmpint(result->not_started, ==, not_started);
	if (ack) {
		entry->result_ack = result->number;
		send_heartbeat(entry);
	}
	channel_free_envelope(envelope);
}

static void set_up(struct fake_entry *entry, const void *settings)
{
	const struct harness_options options = {.entries = 1,
						.agents = 1,
						.slots = SLOTS,
						.without_log = true,
						.external_entries = true,
						.with_proxy = true,
						.agent_settings = settings};
	char *address;

	*entry = (struct fake_entry){.incarnation = ident_random(), .zmq = zmq_ctx_new()};
	entry->harness = harness_start(&options);
	address = g_strdup_printf("tcp://127.0.0.1:%d", entry->harness->entries[0].channel_port);
	g_assert_cmpint(channel_bind(entry->zmq, address, &entry->channel, NULL), ==, STATUS_OK);
	g_free(address);
	answer_hello(entry);
	wait_for_credits(entry, 1);
}

static void tear_down(struct fake_entry *entry, const void *unused)
{
	channel_close(&entry->channel);
	zmq_ctx_term(entry->zmq);
	harness_free(entry->harness);
}

/* Guards against accepting more starts than credits were granted, and against an agent that never
 * raises its initial single credit to the number of slots. */
static void test_credits(struct fake_entry *entry, const void *unused)
{
	g_assert_cmpuint(entry->granted_credits, ==, 1);
	send_start(entry, 1, "{}");
	expect_result(entry, 1, "ok", false, true);
	wait_for_credits(entry, 3);
	/* Credits for both slots are outstanding, so the agent grants no more. */
	send_start(entry, 4, "{}");
	expect_result(entry, 4, "no_slot", true, true);
	g_assert_cmpuint(harness_count_starts(entry->harness).total, ==, 1);
}

/* Guards against running a task again when its start message arrives twice. */
static void test_repeated_start(struct fake_entry *entry, const void *unused)
{
	Gg__Envelope *envelope;

	send_start(entry, 1, "{\"echo\": 5}");
	expect_result(entry, 1, "ok", false, true);
	send_start(entry, 1, "{\"echo\": 5}");
	while ((envelope = receive_next(entry, OBSERVATION_US))) {
		g_assert_cmpint(envelope->body_case, !=, GG__ENVELOPE__BODY_RESULT_BATCH);
		channel_free_envelope(envelope);
	}
	g_assert_cmpuint(harness_count_starts(entry->harness).total, ==, 1);
}

/* Guards against losing an unacknowledged result when the connection breaks. Also guards against a
 * Reconciled message that does not list a start that never arrived as sealed, and against running
 * such a start when its message arrives later. */
static void test_reconcile(struct fake_entry *entry, const void *unused)
{
	Gg__Envelope envelope = GG__ENVELOPE__INIT;
	Gg__Reconcile reconcile = GG__RECONCILE__INIT;
	uint64_t outstanding[] = {1, 2};
	uint64_t epoch = entry->epoch;
	Gg__Envelope *reply;
	char *proxy_reply;

	send_start(entry, 1, "{\"echo\": 5}");
	expect_result(entry, 1, "ok", false, false);
	proxy_reply = harness_proxy_command(entry->harness, "agent0-entry0 cut");
	g_free(proxy_reply);
	answer_hello(entry);
	g_assert_cmpuint(entry->epoch, >, epoch);

	reconcile.next_seq = 3;
	reconcile.n_outstanding = G_N_ELEMENTS(outstanding);
	reconcile.outstanding = outstanding;
	envelope.body_case = GG__ENVELOPE__BODY_RECONCILE;
	envelope.reconcile = &reconcile;
	fake_send(entry, &envelope);
	expect_result(entry, 1, "ok", false, false);
	reply = receive_kind(entry, GG__ENVELOPE__BODY_RECONCILED);
	g_assert_cmpuint(reply->reconciled->n_sealed, ==, 1);
	g_assert_cmpuint(reply->reconciled->sealed[0], ==, 2);
	g_assert_cmpuint(reply->reconciled->n_running, ==, 0);
	channel_free_envelope(reply);
	send_start(entry, 2, "{}");
	send_heartbeat(entry);
	g_assert_cmpuint(harness_count_starts(entry->harness).total, ==, 1);
}

/* Guards against an agent that does not resend an unacknowledged result when Reconcile arrives on
 * the same connection. The entry would then wait for the result until it declares the agent lost.
 */
static void test_reconcile_again(struct fake_entry *entry, const void *unused)
{
	Gg__Envelope envelope = GG__ENVELOPE__INIT;
	Gg__Reconcile reconcile = GG__RECONCILE__INIT;
	uint64_t outstanding[] = {1};

	send_start(entry, 1, "{\"echo\": 5}");
	expect_result(entry, 1, "ok", false, false);
	reconcile.next_seq = 2;
	reconcile.n_outstanding = G_N_ELEMENTS(outstanding);
	reconcile.outstanding = outstanding;
	envelope.body_case = GG__ENVELOPE__BODY_RECONCILE;
	envelope.reconcile = &reconcile;
	fake_send(entry, &envelope);
	expect_result(entry, 1, "ok", false, false);
	channel_free_envelope(receive_kind(entry, GG__ENVELOPE__BODY_RECONCILED));
	g_assert_cmpuint(harness_count_starts(entry->harness).total, ==, 1);
}

/* Guards against an agent that keeps a connection on which it receives nothing. */
static void test_silent_connection(struct fake_entry *entry, const void *unused)
{
	uint64_t epoch = entry->epoch;
	char *proxy_reply = harness_proxy_command(entry->harness, "agent0-entry0 silence");

	g_free(proxy_reply);
	answer_hello(entry);
	g_assert_cmpuint(entry->epoch, >, epoch);
}

/* Guards against running a start that was delayed too long by a paused entry or a stalled
 * connection. */
static void test_late_start(struct fake_entry *entry, const void *unused)
{
	entry->sent_time_lag_us = 3000000;
	send_start(entry, 1, "{}");
	expect_result(entry, 1, "start_late", true, true);
	g_assert_cmpuint(harness_count_starts(entry->harness).total, ==, 0);
}

/* Guards against an agent that does not fetch and apply a newer configuration, and against running
 * a start that was sent under a configuration which has been replaced. */
static void test_config(struct fake_entry *entry, const void *unused)
{
	Gg__Envelope envelope = GG__ENVELOPE__INIT;
	Gg__ConfigState state = GG__CONFIG_STATE__INIT;
	char drain_all[] = "{\"drain\": {\"servers\": [\"server0\"]}}";
	Gg__Envelope *request;

	entry->config_version = 5;
	send_heartbeat(entry);
	request = receive_kind(entry, GG__ENVELOPE__BODY_CONFIG_REQUEST);
	g_assert_cmpuint(request->config_request->have_version, ==, 0);
	channel_free_envelope(request);
	g_assert_true(entry->server_open);
	state.version = 5;
	state.document = drain_all;
	envelope.body_case = GG__ENVELOPE__BODY_CONFIG_STATE;
	envelope.config_state = &state;
	fake_send(entry, &envelope);
	while (entry->server_open)
		channel_free_envelope(receive_kind(entry, GG__ENVELOPE__BODY_HEARTBEAT));
	entry->config_version = 4;
	send_start(entry, 1, "{}");
	expect_result(entry, 1, "stale_config", true, true);
	g_assert_cmpuint(harness_count_starts(entry->harness).total, ==, 0);
}

/* Guards against running new starts on a server that is leaving or no longer renews its
 * registration. */
static void check_unavailable_server(struct fake_entry *entry, const void *fault)
{
	harness_set_server_faults(entry->harness, 0, fault);
	while (entry->server_open) {
		channel_free_envelope(receive_kind(entry, GG__ENVELOPE__BODY_HEARTBEAT));
		send_heartbeat(entry);
	}
	send_start(entry, 1, "{}");
	expect_result(entry, 1, "server_leaving", true, true);
	g_assert_cmpuint(harness_count_starts(entry->harness).total, ==, 0);
}

static void test_server_leaves(struct fake_entry *entry, const void *unused)
{
	check_unavailable_server(entry, "{\"leave\": true}");
}

static void test_registration_expires(struct fake_entry *entry, const void *unused)
{
	check_unavailable_server(entry, "{\"stop_renewing\": true}");
}

/* Guards against an agent that still grants credits at the full rate when its server fails every
 * task. */
static void test_quarantine(struct fake_entry *entry, const void *unused)
{
	harness_set_server_faults(entry->harness, 0, "{\"fail_all\": true}");
	for (uint64_t seq = 1; seq <= 5; seq++) {
		wait_for_credits(entry, seq);
		send_start(entry, seq, "{}");
		expect_result(entry, seq, "task_failed", false, true);
	}
	send_start(entry, 6, "{}");
	expect_result(entry, 6, "no_slot", true, true);
	harness_set_server_faults(entry->harness, 0, "{\"fail_all\": false}");
	wait_for_credits(entry, 6);
	g_assert_cmpuint(harness_count_starts(entry->harness).total, ==, 5);
}

/* Guards against a graceful stop that aborts a running task or does not send its result. */
static void test_graceful_stop(struct fake_entry *entry, const void *unused)
{
	send_start(entry, 1, "{\"sleep_ms\": 500}");
	HARNESS_WAIT(TIMEOUT_MS, harness_count_starts(entry->harness).total == 1);
	harness_signal(entry->harness->agents[0].process, SIGTERM);
	expect_result(entry, 1, "ok", false, true);
	channel_free_envelope(receive_kind(entry, GG__ENVELOPE__BODY_GOODBYE));
	g_assert_cmpint(harness_wait_exit(entry->harness->agents[0].process, TIMEOUT_MS), ==, 0);
}

/* Guards against an agent that does not connect to entries which it knows only from a Welcome. */
static void test_entry_named_by_welcome(struct fake_entry *entry, const void *unused)
{
	struct fake_entry other = {.incarnation = ident_random()};
	char *address = g_strdup_printf("tcp://127.0.0.1:%d", harness_reserve_port());
	Gg__Envelope envelope = GG__ENVELOPE__INIT;
	Gg__Welcome body = GG__WELCOME__INIT;
	Gg__PeerInfo info = GG__PEER_INFO__INIT;
	Gg__PeerInfo *list = &info;

	g_assert_cmpint(channel_bind(entry->zmq, address, &other.channel, NULL), ==, STATUS_OK);
	info.incarnation = channel_ident_field(&other.incarnation);
	info.address = address;
	body.n_entries = 1;
	body.entries = &list;
	envelope.body_case = GG__ENVELOPE__BODY_WELCOME;
	envelope.welcome = &body;
	fake_send(entry, &envelope);
	answer_hello(&other);
	g_assert_true(ident_equal(&entry->agent, &other.agent));
	channel_close(&other.channel);
	g_free(address);
}

/* Receives the agent's messages to ENTRY for DURATION_US. Answers those that come on the newest
 * connection with a heartbeat, as an entry does. Returns the number of Hellos. */
static unsigned count_hellos(struct fake_entry *entry, int64_t duration_us)
{
	int64_t end_us = timer_clock_us() + duration_us;
	unsigned hellos = 0;

	while (timer_clock_us() < end_us) {
		uint64_t newest_epoch = entry->epoch;
		struct channel_route route = entry->route;
		Gg__Envelope *envelope = receive_next(entry, end_us - timer_clock_us());

		if (!envelope)
			break;
		if (envelope->epoch < newest_epoch)
			entry->route = route;
		else
			send_heartbeat(entry);
		hellos += envelope->body_case == GG__ENVELOPE__BODY_HELLO;
		channel_free_envelope(envelope);
	}
	return hellos;
}

/* Guards against an agent that keeps reconnecting when one entry has two addresses. An entry
 * answers only on its newest connection, so the agent would treat the other connection as silent
 * and replace it, which makes the replacement the newest connection. */
static void test_entry_with_two_addresses(struct fake_entry *entry, const void *unused)
{
	struct fake_entry other = {.incarnation = ident_random()};
	int port = harness_reserve_port();
	char *addresses[] = {g_strdup_printf("tcp://127.0.0.1:%d", port),
			     g_strdup_printf("tcp://localhost:%d", port)};
	Gg__Envelope envelope = GG__ENVELOPE__INIT;
	Gg__Welcome body = GG__WELCOME__INIT;
	Gg__PeerInfo infos[] = {GG__PEER_INFO__INIT, GG__PEER_INFO__INIT};
	Gg__PeerInfo *list[] = {&infos[0], &infos[1]};

	g_assert_cmpint(channel_bind(entry->zmq, addresses[0], &other.channel, NULL), ==,
			STATUS_OK);
	for (size_t i = 0; i < G_N_ELEMENTS(infos); i++) {
		infos[i].incarnation = channel_ident_field(&other.incarnation);
		infos[i].address = addresses[i];
	}
	body.n_entries = G_N_ELEMENTS(infos);
	body.entries = list;
	envelope.body_case = GG__ENVELOPE__BODY_WELCOME;
	envelope.welcome = &body;
	fake_send(entry, &envelope);
	/* Both connections must exist before the entry sends its first message. */
	for (size_t i = 0; i < G_N_ELEMENTS(infos); i++)
		channel_free_envelope(receive_kind(&other, GG__ENVELOPE__BODY_HELLO));
	send_heartbeat(&other);
	/* Hellos sent while the agent settles on one connection are not counted. */
	count_hellos(&other, OBSERVATION_US);
	/* The duration is four times the channel.heartbeat_limit_ms of this test case. */
	g_assert_cmpuint(count_hellos(&other, 4 * OBSERVATION_US), ==, 0);
	channel_close(&other.channel);
	for (size_t i = 0; i < G_N_ELEMENTS(addresses); i++)
		g_free(addresses[i]);
}

/* Guards against a shutdown that waits indefinitely for a task that hangs. */
static void test_forced_stop(struct fake_entry *entry, const void *unused)
{
	harness_set_server_faults(entry->harness, 0, "{\"hang\": true}");
	send_start(entry, 1, "{}");
	HARNESS_WAIT(TIMEOUT_MS, harness_count_starts(entry->harness).total == 1);
	harness_signal(entry->harness->agents[0].process, SIGTERM);
	g_assert_cmpint(harness_wait_exit(entry->harness->agents[0].process, TIMEOUT_MS), ==, 3);
}

static unsigned count_occurrences(const char *file, const char *pattern)
{
	char *text = NULL;
	unsigned count = 0;

	g_assert_true(g_file_get_contents(file, &text, NULL, NULL));
	for (const char *found = text; (found = strstr(found, pattern)); found++)
		count++;
	g_free(text);
	return count;
}

/* Guards against retrying an invalid address in a tight loop, which floods the log with the event
 * CHANNEL_FAILED (1307). Five retries must take more than one second. */
static void test_invalid_address(void)
{
	struct harness *harness = harness_start(&(struct harness_options){
		.entries = 1,
		.agents = 1,
		.without_log = true,
		.external_entries = true,
		.agent_settings = "{\"channel\": {\"entries\": [\"nonsense\"]}}"});
	const char *log = harness->agents[0].process->stdout_file;
	int64_t start_us;

	HARNESS_WAIT(TIMEOUT_MS, count_occurrences(log, "\"event\":1307") >= 1);
	start_us = timer_clock_us();
	HARNESS_WAIT(TIMEOUT_MS, count_occurrences(log, "\"event\":1307") >= 6);
	g_assert_cmpint(timer_clock_us() - start_us, >, 1000000);
	harness_free(harness);
}

int main(int argc, char **argv)
{
	static const char short_drain_limit[] = "{\"drain\": {\"limit_ms\": 300}}";
	static const char short_timeouts[] =
		"{\"channel\": {\"heartbeat_ms\": 50, \"heartbeat_limit_ms\": "
		"300}}";

	g_test_init(&argc, &argv, NULL);
#define CASE(name, settings, function)                                                             \
	g_test_add("/agent/" name, struct fake_entry, settings, set_up, function, tear_down)
	CASE("credits", NULL, test_credits);
	CASE("repeated_start", NULL, test_repeated_start);
	CASE("reconcile", NULL, test_reconcile);
	CASE("reconcile_again", NULL, test_reconcile_again);
	CASE("silent_connection", short_timeouts, test_silent_connection);
	CASE("late_start", NULL, test_late_start);
	CASE("config", NULL, test_config);
	CASE("leave", NULL, test_server_leaves);
	CASE("expire", NULL, test_registration_expires);
	CASE("quarantine", NULL, test_quarantine);
	CASE("graceful_stop", NULL, test_graceful_stop);
	CASE("learned_entry", NULL, test_entry_named_by_welcome);
	CASE("entry_of_two_addresses", short_timeouts, test_entry_with_two_addresses);
	CASE("forced_stop", short_drain_limit, test_forced_stop);
	g_test_add_func("/agent/invalid_address", test_invalid_address);
	return g_test_run();
}
