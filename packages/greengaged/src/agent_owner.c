#include "agent_owner.h"

#include "event.h"

enum {
	PERMILLE = 1000
};

struct run_end {
	uint64_t run;
	uint32_t outcome;
	uint32_t elapsed_ms;
};

struct run_progress {
	uint64_t run;
	uint32_t percent;
	uint32_t elapsed_ms;
};

/* A report that was sent and is not acknowledged. */
struct sent_report {
	uint64_t number;
	GArray *ends;
};

static void sent_report_free(gpointer data)
{
	struct sent_report *report = data;

	g_array_free(report->ends, TRUE);
	g_free(report);
}

struct owner *owner_new(uint32_t number, const struct ident *incarnation, int64_t boot_time_us)
{
	struct owner *owner = g_new0(struct owner, 1);

	owner->number = number;
	owner->incarnation = *incarnation;
	owner->next_report_number = 1;
	owner->confirmed_us = boot_time_us;
	g_queue_init(&owner->unacknowledged_reports);
	owner->unsent_ends = g_array_new(FALSE, FALSE, sizeof(struct run_end));
	owner->unsent_progress = g_array_new(FALSE, FALSE, sizeof(struct run_progress));
	return owner;
}

void owner_free(struct owner *owner)
{
	g_queue_clear_full(&owner->unacknowledged_reports, sent_report_free);
	g_array_free(owner->unsent_ends, TRUE);
	g_array_free(owner->unsent_progress, TRUE);
	g_free(owner);
}

void owner_add_end(struct owner *owner, const struct run *run, enum run_outcome outcome,
		   int64_t elapsed_us)
{
	const struct run_end end = {
		.run = run->number,
		.outcome = outcome,
		.elapsed_ms = (uint32_t)(elapsed_us / US_PER_MS),
	};

	g_array_append_val(owner->unsent_ends, end);
}

void owner_add_progress(struct owner *owner, const struct run *run, int64_t elapsed_us)
{
	const struct run_progress progress = {
		.run = run->number,
		.percent = run->percent,
		.elapsed_ms = (uint32_t)(elapsed_us / US_PER_MS),
	};

	g_array_append_val(owner->unsent_progress, progress);
}

static void fill_room(const struct owner *owner, const struct backend *backend, Ggd__Room *room)
{
	struct resources free_resources =
		runs_free_resources(&backend->runs, backend->loop->now_us);
	int64_t now_us = backend->loop->now_us;

	room->ready = backend_ready(backend) && owner->retiring_since_us == 0;
	room->cpu = free_resources.cpu;
	room->memory_mb = free_resources.memory_mb;
	room->gpus = free_resources.gpus;
	room->speed = (uint32_t)(runs_speed(&backend->runs, now_us) * PERMILLE);
	room->samples = backend->runs.samples;
	room->unsettled = backend_count_ownerless_runs(backend);
	room->n_waiting_cpu = PRIORITY_LEVELS;
	room->waiting_cpu = (uint32_t *)backend->runs.waiting_cpu;
	room->run_ms = (uint32_t)(backend->runs.run_us / US_PER_MS);
	room->suspect = runs_on_trial(&backend->runs, now_us);
	room->evacuated = backend->runs.evacuated;
}

static void fill_server(const struct backend *backend, Ggd__Server *server, char **labels)
{
	const struct server_identity *identity = &backend->presence.identity;

	server->id = (char *)identity->id;
	server->service = (char *)identity->service;
	server->zone = (char *)identity->zone;
	server->cpu = backend->runs.total_resources.cpu;
	server->memory_mb = backend->runs.total_resources.memory_mb;
	server->gpus = backend->runs.total_resources.gpus;
	server->n_labels = identity->label_count;
	server->labels = labels;
	for (size_t i = 0; i < identity->label_count; i++)
		labels[i] = (char *)identity->labels[i];
}

static void collect_held(void *context, const struct run *run)
{
	Ggd__Holds *holds = context;

	if (run->held && runs_start_in_transit(run))
		holds->starts[holds->n_starts++] = run->task;
	else if (run->held)
		holds->runs[holds->n_runs++] = run->task;
}

/* Sets the names of the held tasks, which HOLDS borrows. The caller frees the arrays. */
static void fill_holds(struct backend *backend, Ggd__Holds *holds)
{
	uint32_t count = table_count(&backend->runs.table);

	holds->runs = g_new(char *, count);
	holds->starts = g_new(char *, count);
	runs_foreach(&backend->runs, collect_held, holds);
}

/* Sends a report with the given ENDS and INVENTORY, which may be NULL, the free resources and all
 * unsent progress. The server's identity and the held tasks are included if this owner was not sent
 * the current version on this link. NUMBER is 0 if the report needs no acknowledgement. */
static void send_report(struct owner *owner, struct backend *backend, uint64_t number,
			const GArray *ends, Ggd__Inventory *inventory)
{
	Ggd__Frame frame = GGD__FRAME__INIT;
	Ggd__Report report = GGD__REPORT__INIT;
	Ggd__Room room = GGD__ROOM__INIT;
	Ggd__Server server = GGD__SERVER__INIT;
	Ggd__Holds holds = GGD__HOLDS__INIT;
	char *labels[PRESENCE_LABELS_MAX];
	guint end_count = ends ? ends->len : 0;
	Ggd__RunEnd *end_rows = g_new(Ggd__RunEnd, end_count + 1);
	Ggd__RunEnd **end_row_pointers = g_new(Ggd__RunEnd *, end_count + 1);
	Ggd__Progress *progress_rows = g_new(Ggd__Progress, owner->unsent_progress->len + 1);
	Ggd__Progress **progress_row_pointers =
		g_new(Ggd__Progress *, owner->unsent_progress->len + 1);

	for (guint i = 0; i < end_count; i++) {
		const struct run_end *end = &g_array_index(ends, struct run_end, i);

		ggd__run_end__init(&end_rows[i]);
		end_rows[i].run = end->run;
		end_rows[i].server_crashed = end->outcome == RUN_CRASHED;
		end_rows[i].outcome =
			end_rows[i].server_crashed ? RUN_LOST : (uint32_t)end->outcome;
		end_rows[i].elapsed_ms = end->elapsed_ms;
		end_row_pointers[i] = &end_rows[i];
	}
	for (guint i = 0; i < owner->unsent_progress->len; i++) {
		const struct run_progress *progress =
			&g_array_index(owner->unsent_progress, struct run_progress, i);

		ggd__progress__init(&progress_rows[i]);
		progress_rows[i].run = progress->run;
		progress_rows[i].percent = progress->percent;
		progress_rows[i].elapsed_ms = progress->elapsed_ms;
		progress_row_pointers[i] = &progress_rows[i];
	}
	fill_room(owner, backend, &room);
	report.session = owner->number;
	report.number = number;
	report.orders_ack = owner->orders_ack;
	report.settled_orders =
		runs_settled_orders(&backend->runs, owner->number, owner->orders_ack);
	report.room = &room;
	report.n_ends = end_count;
	report.ends = end_row_pointers;
	report.n_late = owner->unsent_progress->len;
	report.late = progress_row_pointers;
	report.inventory = inventory;
	if (owner->sent_identity_version != backend->presence.identity_version) {
		fill_server(backend, &server, labels);
		report.server = &server;
		owner->sent_identity_version = backend->presence.identity_version;
	}
	if (owner->sent_holds_version != backend->runs.holds_version) {
		fill_holds(backend, &holds);
		report.holds = &holds;
		owner->sent_holds_version = backend->runs.holds_version;
	}
	frame.body_case = GGD__FRAME__BODY_REPORT;
	frame.report = &report;
	node_link_send(owner->link, &frame);
	g_free(holds.runs);
	g_free(holds.starts);
	owner->status_changed = false;
	owner->report_sent_us = backend->loop->now_us;
	g_array_set_size(owner->unsent_progress, 0);
	g_free(end_rows);
	g_free(end_row_pointers);
	g_free(progress_rows);
	g_free(progress_row_pointers);
}

/* The ends are kept until the owner acknowledges the report, because a report may be lost when its
 * connection breaks. */
void owner_send_ends(struct owner *owner, struct backend *backend)
{
	struct sent_report *sent = g_new(struct sent_report, 1);

	sent->number = owner->next_report_number++;
	sent->ends = owner->unsent_ends;
	owner->unsent_ends = g_array_new(FALSE, FALSE, sizeof(struct run_end));
	g_queue_push_tail(&owner->unacknowledged_reports, sent);
	send_report(owner, backend, sent->number, sent->ends, NULL);
}

/* Context of collect_run_number. */
struct run_numbers {
	uint32_t owner;
	GArray *numbers;
};

static void collect_run_number(void *context, const struct run *run)
{
	struct run_numbers *collected = context;

	if (run->owner == collected->owner)
		g_array_append_val(collected->numbers, run->number);
}

void owner_send_inventory(struct owner *owner, struct backend *backend)
{
	struct run_numbers collected = {
		.owner = owner->number,
		.numbers = g_array_new(FALSE, FALSE, sizeof(uint64_t)),
	};
	Ggd__Inventory inventory = GGD__INVENTORY__INIT;

	for (GList *item = owner->unacknowledged_reports.head; item; item = item->next) {
		const struct sent_report *sent = item->data;

		send_report(owner, backend, sent->number, sent->ends, NULL);
	}
	if (owner->unsent_ends->len > 0)
		owner_send_ends(owner, backend);
	runs_foreach(&backend->runs, collect_run_number, &collected);
	/* Makes the inventory report include the server's identity. The owner may have dropped it,
	 * and ignores everything except the ends in reports that arrive before the inventory. */
	owner->sent_identity_version = 0;
	inventory.last_report = owner->next_report_number - 1;
	inventory.n_runs = collected.numbers->len;
	inventory.runs = (uint64_t *)(void *)collected.numbers->data;
	send_report(owner, backend, 0, NULL, &inventory);
	g_array_free(collected.numbers, TRUE);
}

void owner_send_status(struct owner *owner, struct backend *backend)
{
	send_report(owner, backend, 0, NULL, NULL);
}

bool owner_has_unacknowledged_ends(const struct owner *owner)
{
	return owner->unsent_ends->len > 0 || owner->unacknowledged_reports.length > 0;
}

void owner_acknowledge(struct owner *owner, uint64_t number)
{
	struct sent_report *sent;

	/* The owner cannot have handled a report that was not sent. */
	if (number >= owner->next_report_number)
		return;
	while ((sent = g_queue_peek_head(&owner->unacknowledged_reports)) &&
	       sent->number <= number) {
		g_queue_pop_head(&owner->unacknowledged_reports);
		sent_report_free(sent);
	}
}
