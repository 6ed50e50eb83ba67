#include "node_isolation.h"

#include "event.h"
#include "node_agent_links.h"
#include "node_peers.h"

enum {
	/* How long after an isolation a request may arrive whose client has left meanwhile. */
	LATE_REQUESTS_MS = 1000,
	/* The store usually answers after 4 ms. */
	PROBE_LIMIT_MS = 200,
	/* A cut is found this long before the links fail that it has silenced. Over them, the stops
	 * may still reach agents that can't answer. */
	LEAD_MS = 50,
	/* How often the silence of agents and entries is looked at. */
	CENSUS_INTERVAL_MS = 20
};

/* Requests may be late while clients can't be reached, and shortly after that. */
static void expect_late_requests(struct node_entry *entry)
{
	bool cut_off = entry->isolation.isolated || entry->isolation.quiet ||
		       entry->partition.cut_off || entry->partition.unconfirmed;

	dispatch_expect_late_requests(&entry->dispatch,
				      cut_off ? INT64_MAX
					      : entry->loop.now_us + LATE_REQUESTS_MS * US_PER_MS);
}

void node_isolation_start(struct node_entry *entry)
{
	isolation_begin(&entry->isolation, entry->loop.now_us);
	entry->partition = (struct partition){
		.timeout_us = entry->isolation.timeout_us - LEAD_MS * US_PER_MS,
		.first_limit_us = PROBE_LIMIT_MS * US_PER_MS,
	};
	partition_start(&entry->partition, entry->loop.now_us);
	dispatch_set_cut_off(&entry->dispatch, false);
	expect_late_requests(entry);
}

static void end_jobs(struct node_entry *entry)
{
	dispatch_abort_all(&entry->dispatch, "the entry was cut off", entry->loop.now_us);
	node_agent_links_abandon_runs(entry);
	node_agent_links_send_queued(entry);
	expect_late_requests(entry);
}

/* The agents connect again within milliseconds, so new requests wait for them. */
static void resume(struct node_entry *entry)
{
	dispatch_await_agents(&entry->dispatch, entry->loop.now_us);
	expect_late_requests(entry);
}

static void log_isolation(const struct node_entry *entry)
{
	event_log(EVENT_ENTRY_ISOLATED,
		  EV_I("silent_ms", (entry->loop.now_us - entry->loop.last_input_us) / US_PER_MS),
		  EV_I("jobs", dispatch_job_count(&entry->dispatch)));
}

static void check_isolation(struct node_entry *entry)
{
	switch (isolation_update(&entry->isolation, entry->loop.last_input_us,
				 entry->links.last_silent_us, entry->loop.now_us)) {
	case ISOLATION_BEGINS:
		log_isolation(entry);
		end_jobs(entry);
		break;
	case ISOLATION_ENDS:
		resume(entry);
		break;
	case QUIET_BEGINS:
	case QUIET_ENDS:
		expect_late_requests(entry);
		break;
	case ISOLATION_UNCHANGED:
		break;
	}
}

static struct isolation_census take_census(const struct node_entry *entry, int64_t silence_us)
{
	struct isolation_census census = {0};

	node_agent_links_census(entry, silence_us, &census);
	node_peers_census(entry, silence_us, &census);
	return census;
}

static void log_partition(const struct node_entry *entry, const struct isolation_census *census)
{
	int64_t unanswered_us = entry->loop.now_us -
				MAX(entry->partition.suspected_us, entry->partition.answered_us);

	event_log(EVENT_ENTRY_CUT_OFF, EV_I("entries", census->entries),
		  EV_I("silent_entries", census->silent_entries), EV_I("agents", census->agents),
		  EV_I("silent_agents", census->silent_agents),
		  EV_I("unanswered_ms", unanswered_us / US_PER_MS),
		  EV_I("jobs", dispatch_job_count(&entry->dispatch)));
}

static void begin_partition(struct node_entry *entry, const struct isolation_census *census)
{
	int64_t now_us = entry->loop.now_us;

	/* Whoever is there sends heartbeats. */
	if (now_us - entry->loop.last_input_us > PARTITION_SUSPECT_MS * US_PER_MS) {
		log_isolation(entry);
		isolation_begin(&entry->isolation, now_us);
	} else {
		log_partition(entry, census);
	}
	dispatch_set_cut_off(&entry->dispatch, true);
	end_jobs(entry);
}

static void end_partition(struct node_entry *entry)
{
	event_log(EVENT_ENTRY_RECONNECTED,
		  EV_I("cut_off_ms", (entry->loop.now_us - entry->partition.since_us) / US_PER_MS));
	dispatch_set_cut_off(&entry->dispatch, false);
	resume(entry);
}

static void check_partition(struct node_entry *entry)
{
	int64_t now_us = entry->loop.now_us;
	struct isolation_census suspected, lost;

	if (now_us - entry->census_us < CENSUS_INTERVAL_MS * US_PER_MS)
		return;
	entry->census_us = now_us;
	suspected = take_census(entry, PARTITION_SUSPECT_MS * US_PER_MS);
	lost = take_census(entry, entry->partition.timeout_us);
	switch (partition_update(&entry->partition, isolation_most_silent(&suspected),
				 isolation_most_silent(&lost), now_us)) {
	case PARTITION_BEGINS:
		begin_partition(entry, &lost);
		break;
	case PARTITION_ENDS:
		end_partition(entry);
		break;
	case PARTITION_CONFIRMED:
		expect_late_requests(entry);
		break;
	case PARTITION_UNCHANGED:
		break;
	}
	if (partition_probe_due(&entry->partition, now_us))
		store_probe_send(entry->store_probe, PROBE_LIMIT_MS);
}

void node_isolation_probe_answered(void *context, int64_t sent_us)
{
	struct node_entry *entry = context;

	partition_answered(&entry->partition, sent_us);
}

void node_isolation_check(struct node_entry *entry)
{
	check_isolation(entry);
	check_partition(entry);
}
