#include "agent_owners.h"

#include "client_api.h"
#include "event.h"
#include "node_evacuations.h"

enum {
	/*
	 * Interval between two reports to an entry that only update the free resources:
	 * REPORT_INTERVAL_PER_ENTRY_MS for each known entry, but at least MIN_REPORT_INTERVAL_MS.
	 * When many entries share the resources, each needs updates less often. Otherwise the
	 * reports of all servers would take most of the processor time of a small entry host.
	 */
	REPORT_INTERVAL_PER_ENTRY_MS = 1,
	MIN_REPORT_INTERVAL_MS = 5,
	/* An owner that returns later than this has settled its runs by itself. */
	ABANDONED_RETENTION_MS = 5000
};

/* The steady clock stands still while the host is suspended, and the entries settle runs meanwhile.
 * So silence is measured in boot time. */
static int64_t boot_time_us(const struct owners *owners)
{
	const struct net_loop *loop = owners->backend->loop;

	return loop->now_us + loop->suspended_us;
}

/* Returns whether an owner last heard at SINCE_US counts as unreachable. */
static bool is_silent(const struct owners *owners, int64_t since_us)
{
	return boot_time_us(owners) - since_us > owners->silence_timeout_us;
}

void owners_init(struct owners *owners)
{
	owners->list = g_ptr_array_new();
	owners->last_number = 0;
	evacuations_init(&owners->evacuations);
}

struct owner *owners_find(const struct owners *owners, uint32_t number)
{
	for (guint i = 0; i < owners->list->len; i++) {
		struct owner *owner = owners->list->pdata[i];

		if (owner->number == number)
			return owner;
	}
	return NULL;
}

struct owner *owners_find_or_add(struct owners *owners, const struct ident *incarnation)
{
	struct owner *owner;

	for (guint i = 0; i < owners->list->len; i++) {
		owner = owners->list->pdata[i];
		if (ident_equal(&owner->incarnation, incarnation))
			return owner;
	}
	owner = owner_new(++owners->last_number, incarnation, boot_time_us(owners));
	g_ptr_array_add(owners->list, owner);
	return owner;
}

void owners_connect(struct owners *owners, struct owner *owner, struct node_link *link)
{
	const struct message_times times = node_link_frame_times(link);

	message_age_update(&owner->age, &times);
	owner->retiring_since_us = 0;
	owner->link = link;
	owner->orders_ack = 0;
	runs_forget_orders(&owners->backend->runs, owner->number);
	owner->sent_identity_version = 0;
	owner->sent_holds_version = 0;
	owner_send_inventory(owner, owners->backend);
}

static void log_lost(const struct owners *owners, const struct owner *owner)
{
	char text[IDENT_HEX_BYTES];

	event_log(EVENT_OWNER_LOST, EV_S("entry", ident_format(&owner->incarnation, text)),
		  EV_I("silent_ms", (boot_time_us(owners) - owner->confirmed_us) / US_PER_MS));
}

/* Returns when the runs of OWNER should have been stopped, on the loop's clock. */
static int64_t stop_by_us(const struct owners *owners, const struct owner *owner)
{
	return owner->confirmed_us + owners->silence_timeout_us + owners->stop_wait_us -
	       owners->backend->loop->suspended_us;
}

void owners_remove(struct owners *owners, struct owner *owner)
{
	if (!owner->abandoned)
		log_lost(owners, owner);
	owners->removed(owners->context, owner);
	runs_owner_gone(&owners->backend->runs, owner->number, stop_by_us(owners, owner),
			owners->backend->loop->now_us);
	g_ptr_array_remove_fast(owners->list, owner);
	owner_free(owner);
}

static void abandon(struct owners *owners, struct owner *owner)
{
	log_lost(owners, owner);
	owner->abandoned = true;
	runs_stop_owned(&owners->backend->runs, owner->number, stop_by_us(owners, owner),
			owners->backend->loop->now_us);
}

void owners_abandon_silent(struct owners *owners)
{
	int64_t retention_us = owners->silence_timeout_us + ABANDONED_RETENTION_MS * US_PER_MS;

	for (guint i = owners->list->len; i-- > 0;) {
		struct owner *owner = owners->list->pdata[i];

		if (!owner->abandoned && is_silent(owners, owner->confirmed_us))
			abandon(owners, owner);
		if (!owner->link && boot_time_us(owners) - owner->confirmed_us > retention_us)
			owners_remove(owners, owner);
	}
}

void owners_mark_status_changed(struct owners *owners)
{
	for (guint i = 0; i < owners->list->len; i++)
		((struct owner *)owners->list->pdata[i])->status_changed = true;
}

/* The server may name another zone than this process has, so both count. */
void owners_update_evacuated(struct owners *owners)
{
	const struct server_identity *identity = &owners->backend->presence.identity;
	struct runs *runs = &owners->backend->runs;
	bool evacuated = evacuations_contains(&owners->evacuations, owners->zone) ||
			 evacuations_contains(&owners->evacuations, identity->zone);

	if (evacuated == runs->evacuated)
		return;
	runs_set_evacuated(runs, evacuated, owners->backend->loop->now_us);
	event_log(EVENT_SERVER_EVACUATED, EV_S("server", identity->id),
		  EV_S("zone", identity->zone),
		  EV_S("state", evacuated ? "evacuated" : "in_service"),
		  EV_I("runs", table_count(&runs->table)));
	owners_mark_status_changed(owners);
}

static void start_runs(struct owners *owners, const struct owner *owner,
		       const Ggd__StartBatch *batch, uint64_t order)
{
	struct backend *backend = owners->backend;
	size_t count = MIN(batch->n_runs, MIN(batch->n_indexes, batch->n_attempts));
	GBytes *spec = g_bytes_new(batch->spec.data, batch->spec.len);
	int64_t now_us = backend->loop->now_us;

	for (size_t i = 0; i < count; i++) {
		char *task = client_task_name(batch->job, batch->step, batch->indexes[i]);
		const struct run_request request = {
			.task = task,
			.attempt = batch->attempts[i],
			.owner = owner->number,
			.number = batch->runs[i],
			.order = order,
			.need = {.cpu = batch->cpu,
				 .memory_mb = batch->memory_mb,
				 .gpus = batch->gpus},
			.estimate_us = (int64_t)batch->estimate_ms * US_PER_MS,
			.priority = batch->priority,
			.urgency_us = now_us + (int64_t)batch->urgent_within_ms * US_PER_MS,
			.start_by_us = now_us + (int64_t)batch->start_within_ms * US_PER_MS,
			.spec = spec,
		};

		runs_start(&backend->runs, &request, now_us);
		g_free(task);
	}
	g_bytes_unref(spec);
}

/* Returns whether ORDERS are the ones that must follow on this link. If others were handled, a
 * repeated start would be refused as that of a task with an earlier run, and the owner would take
 * the run for one that never started. */
static bool is_next(const struct owner *owner, const Ggd__Orders *orders)
{
	if (orders->n_starts == 0 && orders->n_stops == 0)
		return true;
	return orders->session == owner->number &&
	       (orders->n_starts == 0 || orders->number == owner->orders_ack + 1);
}

/* Returns the boot time at which OWNER was there, as its message with TIMES shows. It may have
 * ended after it sent the message, while that was on its way or this process did not run. */
static int64_t heard_us(const struct owners *owners, struct owner *owner,
			const struct message_times *times)
{
	return MIN(owners->backend->loop->input_since_us,
		   times->received_us - message_age_update(&owner->age, times));
}

static void confirm_session(const struct owners *owners, struct owner *owner,
			    const Ggd__Orders *orders, int64_t since_us)
{
	owner->confirmed_us = since_us;
	owner->abandoned = owner->abandoned && is_silent(owners, since_us);
	owner_acknowledge(owner, orders->report_ack);
}

static void stop_runs(struct owners *owners, const struct owner *owner, const Ggd__Orders *orders,
		      int64_t by_us)
{
	struct backend *backend = owners->backend;

	for (size_t i = 0; i < orders->n_stops; i++)
		runs_stop_by(&backend->runs, owner->number, orders->stops[i], by_us,
			     backend->loop->now_us);
}

bool owners_handle_orders(struct owners *owners, struct owner *owner, const Ggd__Orders *orders,
			  const struct message_times *times, const char *source)
{
	/* A stop that was delayed by a lost connection is at most as old as the last message. */
	int64_t by_us = stop_by_us(owners, owner);
	int64_t since_us = heard_us(owners, owner, times);

	/* Before the starts, which may be for a server of a zone that has been evacuated. */
	if (node_evacuations_receive(&owners->evacuations, orders->evacuations, source))
		owners_update_evacuated(owners);
	/* Started so late, a task may run elsewhere already, as its owner may have ended. */
	if (!is_next(owner, orders) || (orders->n_starts > 0 && is_silent(owners, since_us)))
		return false;
	if (orders->session == owner->number)
		confirm_session(owners, owner, orders, since_us);
	/* The stops make room for the starts. */
	stop_runs(owners, owner, orders, by_us);
	for (size_t i = 0; i < orders->n_starts; i++)
		start_runs(owners, owner, orders->starts[i], orders->number);
	/* A run may be started and stopped by the same orders. */
	if (orders->n_starts > 0)
		stop_runs(owners, owner, orders, by_us);
	if (orders->abandon && orders->session == owner->number)
		runs_stop_owned(&owners->backend->runs, owner->number,
				owners->backend->loop->now_us + owners->stop_wait_us,
				owners->backend->loop->now_us);
	if (orders->service_servers > 0)
		owner->service_server_count = orders->service_servers;
	if (orders->n_starts > 0) {
		owner->orders_ack = orders->number;
		owners_mark_status_changed(owners);
	}
	return true;
}

static int64_t report_interval_us(const struct owners *owners)
{
	return MAX(owners->list->len * REPORT_INTERVAL_PER_ENTRY_MS, MIN_REPORT_INTERVAL_MS) *
	       US_PER_MS;
}

int64_t owners_send_reports(struct owners *owners)
{
	struct backend *backend = owners->backend;
	int64_t next_us = INT64_MAX;

	for (guint i = 0; i < owners->list->len; i++) {
		struct owner *owner = owners->list->pdata[i];
		int64_t due_us = owner->report_sent_us + report_interval_us(owners);
		bool changed = owner->status_changed ||
			       owner->sent_holds_version != backend->runs.holds_version;

		if (!owner->link)
			continue;
		if (owner->unsent_ends->len > 0)
			owner_send_ends(owner, backend);
		else if (owner->unsent_progress->len > 0 ||
			 (changed && backend->loop->now_us >= due_us))
			owner_send_status(owner, backend);
		else if (changed)
			next_us = MIN(next_us, due_us);
	}
	return next_us;
}

void owners_send_config(const struct owners *owners, uint32_t number, uint64_t version,
			const char *document, size_t length)
{
	struct owner *owner = owners_find(owners, number);
	Ggd__Frame frame = GGD__FRAME__INIT;
	Ggd__ConfigDocument message = GGD__CONFIG_DOCUMENT__INIT;
	Ggd__Evacuations evacuations = GGD__EVACUATIONS__INIT;

	if (!owner || !owner->link)
		return;
	message.version = version;
	node_evacuations_fill(&owners->evacuations, &evacuations);
	message.evacuations = &evacuations;
	message.document.data = (uint8_t *)document;
	message.document.len = document ? length : 0;
	frame.body_case = GGD__FRAME__BODY_CONFIG;
	frame.config = &message;
	node_link_send(owner->link, &frame);
}
