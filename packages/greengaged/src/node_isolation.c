#include "node_isolation.h"

#include "event.h"
#include "node_agent_links.h"

enum {
	/* How long after an isolation a request may arrive whose client has left meanwhile. */
	LATE_REQUESTS_MS = 1000
};

void node_isolation_start(struct node_entry *entry)
{
	isolation_begin(&entry->isolation, entry->loop.now_us);
	dispatch_expect_late_requests(&entry->dispatch, INT64_MAX);
}

static void begin(struct node_entry *entry)
{
	int64_t now_us = entry->loop.now_us;

	event_log(EVENT_ENTRY_ISOLATED,
		  EV_I("silent_ms", (now_us - entry->loop.last_input_us) / US_PER_MS),
		  EV_I("jobs", dispatch_job_count(&entry->dispatch)));
	dispatch_abort_all(&entry->dispatch, "the entry was cut off", now_us);
	node_agent_links_send_queued(entry);
	dispatch_expect_late_requests(&entry->dispatch, INT64_MAX);
}

void node_isolation_check(struct node_entry *entry)
{
	int64_t now_us = entry->loop.now_us;

	switch (isolation_update(&entry->isolation, entry->loop.last_input_us,
				 entry->links.last_silent_us, now_us)) {
	case ISOLATION_BEGINS:
		begin(entry);
		break;
	case ISOLATION_ENDS:
		/* The agents connect again within milliseconds, so new requests wait for them. */
		dispatch_await_agents(&entry->dispatch, now_us);
		dispatch_expect_late_requests(&entry->dispatch,
					      now_us + LATE_REQUESTS_MS * US_PER_MS);
		break;
	case QUIET_BEGINS:
		dispatch_expect_late_requests(&entry->dispatch, INT64_MAX);
		break;
	case QUIET_ENDS:
		dispatch_expect_late_requests(&entry->dispatch,
					      now_us + LATE_REQUESTS_MS * US_PER_MS);
		break;
	case ISOLATION_UNCHANGED:
		break;
	}
}
