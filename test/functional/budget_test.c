/* Messages and bytes that idle processes send, against the budget of docs/design.md, section 1.9:
 * 6 KB/s of control traffic a daemon, with the default heartbeat. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "harness.h"

enum {
	ENTRIES = 2,
	AGENTS = 10,
	HEARTBEATS = 6,	     /* length of the window */
	HEARTBEAT_MS = 1000, /* default of channel.heartbeat_ms */
	BYTES_PER_HEARTBEAT = 6000,
	CHANNELS_PER_PEER = 2, /* each of two entries connects to the other */
	SETTLED_MS = 20000,
	WINDOW_LIMIT_MS = 30000,
	PATCHED_AGENTS = 4,
	PATCHES = 5,
	NAME_BYTES = 48,
	US_PER_MS = 1000,
};

struct sent {
	int64_t messages;
	int64_t bytes;
};

/* Adds up the counters messages_sent_* of a process. */
static int64_t messages_sent(const char *url)
{
	static const char prefix[] = "\ngreengage_messages_sent_";
	char *full = g_strconcat(url, "/metrics", NULL);
	struct harness_reply reply = harness_http("GET", full, NULL, HARNESS_CALL_MS);
	int64_t total = 0;

	g_assert_cmpint(reply.status, ==, 200);
	for (const char *at = reply.text; (at = strstr(at, prefix)) != NULL;) {
		at += strlen(prefix);
		total += g_ascii_strtoll(strchr(at, ' '), NULL, 10);
	}
	harness_reply_clear(&reply);
	g_free(full);
	return total;
}

/* Returns the bytes that went over a route of the proxy, towards its target or back. */
static int64_t route_bytes(struct harness *harness, const char *route, bool to_target)
{
	char *line = g_strconcat(route, " stats", NULL);
	char *answer = harness_proxy_command(harness, line);
	long long up = 0;
	long long down = 0;

	g_assert_cmpint(sscanf(answer, "%lld %lld", &up, &down), ==, 2);
	g_free(answer);
	g_free(line);
	return to_target ? up : down;
}

static struct sent agent_sent(struct harness *harness)
{
	return (struct sent){
		.messages = messages_sent(harness->agents[0].url),
		.bytes = route_bytes(harness, "agent0-entry0", true) +
			 route_bytes(harness, "agent0-entry1", true) +
			 route_bytes(harness, "announce0", false),
	};
}

static struct sent entry_sent(struct harness *harness)
{
	struct sent sent = {
		.messages = messages_sent(harness->entries[0].url),
		.bytes = route_bytes(harness, "entry0-entry1", true) +
			 route_bytes(harness, "entry1-entry0", false) +
			 route_bytes(harness, "log", true) / ENTRIES,
	};
	char route[NAME_BYTES];

	for (unsigned i = 0; i < AGENTS; i++) {
		g_snprintf(route, sizeof(route), "agent%u-entry0", i);
		sent.bytes += route_bytes(harness, route, false);
	}
	return sent;
}

/* Checks what was sent in HEARTBEATS periods over CHANNELS channels. One more period is allowed
 * for the ends of the window. */
static void check(const char *who, struct sent before, struct sent after, unsigned channels,
		  int64_t periods)
{
	int64_t messages = after.messages - before.messages;
	int64_t bytes = after.bytes - before.bytes;

	g_test_message("%s: %d messages, %d bytes in %d heartbeats", who, (int)messages, (int)bytes,
		       (int)periods);
	g_assert_cmpint(messages, >=, channels);
	g_assert_cmpint(messages, <=, (periods + 1) * channels);
	g_assert_cmpint(bytes, >, 0);
	g_assert_cmpint(bytes, <=, periods * BYTES_PER_HEARTBEAT);
}

/* Guards against control traffic beyond one message a heartbeat and channel, and beyond the
 * budget in bytes. */
static void test_idle(void)
{
	struct harness *harness = harness_start(&(struct harness_options){
		.entries = ENTRIES, .agents = AGENTS, .with_proxy = true});
	const char *entry = harness->entries[0].url;
	int64_t begun_us;
	int64_t periods;
	struct sent agent;
	struct sent now;
	struct sent entry_first;

	/* The messages of the beginning (Hello, first credits) are over after some heartbeats. */
	now = entry_sent(harness);
	HARNESS_WAIT(SETTLED_MS, messages_sent(entry) >= now.messages + 2 * AGENTS);
	begun_us = g_get_monotonic_time();
	agent = agent_sent(harness);
	entry_first = entry_sent(harness);
	HARNESS_WAIT(WINDOW_LIMIT_MS, g_get_monotonic_time() - begun_us >=
					      (int64_t)HEARTBEATS * HEARTBEAT_MS * US_PER_MS);
	now = agent_sent(harness);
	/* Whole periods, rounded up: reading the counts takes time on a busy machine. */
	periods = (g_get_monotonic_time() - begun_us) / (HEARTBEAT_MS * US_PER_MS) + 1;
	check("agent", agent, now, ENTRIES, periods);
	now = entry_sent(harness);
	periods = (g_get_monotonic_time() - begun_us) / (HEARTBEAT_MS * US_PER_MS) + 1;
	check("entry", entry_first, now, AGENTS + CHANNELS_PER_PEER * (ENTRIES - 1), periods);
	harness_free(harness);
}

static void patch_config(const char *entry, int base)
{
	char *url = g_strconcat(entry, "/v1/config", NULL);
	char *body = g_strdup_printf(
		"{\"base\": %d, \"patch\": {\"teams\": {\"passes\": {\"weight\": %d}}}}", base,
		base + 1);
	struct harness_reply reply = harness_http("PATCH", url, body, HARNESS_CALL_MS);

	g_assert_cmpint(reply.status, ==, 200);
	harness_reply_clear(&reply);
	g_free(body);
	g_free(url);
}

/* Guards against an agent that asks for the document which it is just receiving, so that each patch
 * is sent twice. */
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
			HARNESS_WAIT(SETTLED_MS, harness_metric(harness->agents[k].url,
								"config_version") >= i + 1);
	}
	/* Answers to requests for the document precede the next heartbeats. */
	heartbeats = harness_metric(entry, "messages_sent_heartbeat_total");
	HARNESS_WAIT(SETTLED_MS, harness_metric(entry, "messages_sent_heartbeat_total") >=
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
