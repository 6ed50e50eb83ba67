/* Compares the messages and bytes that idle processes send with the budget in docs/design.md,
 * section 1.9: 6 KB/s of control traffic per daemon with the default heartbeat. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "harness.h"

enum {
	ENTRIES = 2,
	AGENTS = 10,
	WINDOW_HEARTBEATS = 6, /* length of the measurement window */
	HEARTBEAT_MS = 1000,   /* default of channel.heartbeat_ms */
	MAX_BYTES_PER_HEARTBEAT = 6000,
	CHANNELS_PER_ENTRY_PAIR = 2, /* each entry connects to the other */
	WAIT_MS = 20000,
	WINDOW_TIMEOUT_MS = 30000,
	PATCHED_AGENTS = 4,
	PATCHES = 5,
	ROUTE_NAME_BYTES = 48,
	US_PER_MS = 1000,
};

struct sent_traffic {
	int64_t messages;
	int64_t bytes;
};

/* Returns the sum of the counters messages_sent_* of the process at URL. */
static int64_t messages_sent(const char *url)
{
	static const char prefix[] = "\ngreengage_messages_sent_";
	char *metrics_url = g_strconcat(url, "/metrics", NULL);
	struct harness_reply reply =
		harness_http("GET", metrics_url, NULL, HARNESS_CALL_TIMEOUT_MS);
	int64_t total = 0;

	g_assert_cmpint(reply.status, ==, 200);
	for (const char *pos = reply.text; (pos = strstr(pos, prefix)) != NULL;) {
		pos += strlen(prefix);
		total += g_ascii_strtoll(strchr(pos, ' '), NULL, 10);
	}
	harness_reply_clear(&reply);
	g_free(metrics_url);
	return total;
}

/* Returns the number of bytes that the proxy forwarded on ROUTE, to the route's target if TO_TARGET
 * is set, else to the client. */
static int64_t route_bytes(struct harness *harness, const char *route, bool to_target)
{
	char *line = g_strconcat(route, " stats", NULL);
	char *answer = harness_proxy_command(harness, line);
	long long to_target_bytes = 0;
	long long from_target_bytes = 0;

	g_assert_cmpint(sscanf(answer, "%lld %lld", &to_target_bytes, &from_target_bytes), ==, 2);
	g_free(answer);
	g_free(line);
	return to_target ? to_target_bytes : from_target_bytes;
}

static struct sent_traffic agent_traffic(struct harness *harness)
{
	return (struct sent_traffic){
		.messages = messages_sent(harness->agents[0].url),
		.bytes = route_bytes(harness, "agent0-entry0", true) +
			 route_bytes(harness, "agent0-entry1", true) +
			 route_bytes(harness, "announce0", false),
	};
}

static struct sent_traffic entry_traffic(struct harness *harness)
{
	struct sent_traffic traffic = {
		.messages = messages_sent(harness->entries[0].url),
		.bytes = route_bytes(harness, "entry0-entry1", true) +
			 route_bytes(harness, "entry1-entry0", false) +
			 route_bytes(harness, "log", true) / ENTRIES,
	};
	char route[ROUTE_NAME_BYTES];

	for (unsigned i = 0; i < AGENTS; i++) {
		g_snprintf(route, sizeof(route), "agent%u-entry0", i);
		traffic.bytes += route_bytes(harness, route, false);
	}
	return traffic;
}

/* Checks the traffic of PERIODS heartbeat periods over CHANNELS channels. The limit is one message
 * per channel and period, and one more per channel, because a window that does not start at a
 * heartbeat may contain one heartbeat more than it has periods. */
static void check_traffic(const char *process_name, struct sent_traffic before,
			  struct sent_traffic after, unsigned channels, int64_t periods)
{
	int64_t messages = after.messages - before.messages;
	int64_t bytes = after.bytes - before.bytes;

	g_test_message("%s: %d messages, %d bytes in %d heartbeats", process_name, (int)messages,
		       (int)bytes, (int)periods);
	g_assert_cmpint(messages, >=, channels);
	g_assert_cmpint(messages, <=, (periods + 1) * channels);
	g_assert_cmpint(bytes, >, 0);
	g_assert_cmpint(bytes, <=, periods * MAX_BYTES_PER_HEARTBEAT);
}

/* Guards against idle processes that send more than one message per heartbeat period and channel,
 * or more bytes than the budget. */
static void test_idle(void)
{
	struct harness *harness = harness_start(&(struct harness_options){
		.entries = ENTRIES, .agents = AGENTS, .with_proxy = true});
	const char *entry = harness->entries[0].url;
	int64_t start_us;
	int64_t periods;
	struct sent_traffic agent_before;
	struct sent_traffic now;
	struct sent_traffic entry_before;

	/* The measurement starts after a few heartbeats, when the start-up messages (Hello, first
	 * credits) have been sent. */
	now = entry_traffic(harness);
	HARNESS_WAIT(WAIT_MS, messages_sent(entry) >= now.messages + 2 * AGENTS);
	start_us = g_get_monotonic_time();
	agent_before = agent_traffic(harness);
	entry_before = entry_traffic(harness);
	HARNESS_WAIT(WINDOW_TIMEOUT_MS,
		     g_get_monotonic_time() - start_us >=
			     (int64_t)WINDOW_HEARTBEATS * HEARTBEAT_MS * US_PER_MS);
	now = agent_traffic(harness);
	/* Reading the counters takes time on a busy machine, so the window ends only now, after the
	 * counters have been read. Its number of periods is rounded up. */
	periods = (g_get_monotonic_time() - start_us) / (HEARTBEAT_MS * US_PER_MS) + 1;
	check_traffic("agent", agent_before, now, ENTRIES, periods);
	now = entry_traffic(harness);
	periods = (g_get_monotonic_time() - start_us) / (HEARTBEAT_MS * US_PER_MS) + 1;
	check_traffic("entry", entry_before, now, AGENTS + CHANNELS_PER_ENTRY_PAIR * (ENTRIES - 1),
		      periods);
	harness_free(harness);
}

static void patch_config(const char *entry, int base)
{
	char *url = g_strconcat(entry, "/v1/config", NULL);
	char *body = g_strdup_printf(
		"{\"base\": %d, \"patch\": {\"teams\": {\"passes\": {\"weight\": %d}}}}", base,
		base + 1);
	struct harness_reply reply = harness_http("PATCH", url, body, HARNESS_CALL_TIMEOUT_MS);

	g_assert_cmpint(reply.status, ==, 200);
	harness_reply_clear(&reply);
	g_free(body);
	g_free(url);
}

/* Guards against an agent that requests a configuration document which is already on its way, so
 * that the entries send each patch twice. */
static void test_config_once(void)
{
	struct harness *harness =
		harness_start(&(struct harness_options){.entries = 1, .agents = PATCHED_AGENTS});
	const char *entry = harness->entries[0].url;
	int64_t before = harness_metric(entry, "messages_sent_config_state_total");
	int64_t heartbeats;

	for (int i = 0; i < PATCHES; i++) {
		patch_config(entry, i);
		for (unsigned k = 0; k < PATCHED_AGENTS; k++)
			HARNESS_WAIT(WAIT_MS, harness_metric(harness->agents[k].url,
							     "config_version") >= i + 1);
	}
	/* Replies to document requests are sent before the next heartbeats, so after two more per
	 * agent every reply is counted. */
	heartbeats = harness_metric(entry, "messages_sent_heartbeat_total");
	HARNESS_WAIT(WAIT_MS, harness_metric(entry, "messages_sent_heartbeat_total") >=
				      heartbeats + 2 * PATCHED_AGENTS);
	g_assert_cmpint(harness_metric(entry, "messages_sent_config_state_total") - before, ==,
			PATCHES * PATCHED_AGENTS);
	harness_free(harness);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/budget/config_once", test_config_once);
	g_test_add_func("/budget/idle", test_idle);
	return g_test_run();
}
