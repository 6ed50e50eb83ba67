#include "node_isolation.h"

#include "event.h"
#include "node_agent_links.h"

static void begin(struct node_entry *entry)
{
	int64_t now_us = entry->loop.now_us;

	event_log(EVENT_ENTRY_ISOLATED,
		  EV_I("silent_ms", (now_us - entry->loop.last_input_us) / US_PER_MS),
		  EV_I("jobs", dispatch_job_count(&entry->dispatch)));
	dispatch_abort_all(&entry->dispatch, "the entry was cut off", now_us);
	node_agent_links_send_queued(entry);
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
		break;
	default:
		break;
	}
}
