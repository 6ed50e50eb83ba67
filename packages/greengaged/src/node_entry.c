/* The entry role of mode "platform", on one event loop. entry.c is the entry role of settings
 * without "mode". */
#include "node_entry.h"

#include <stdlib.h>
#include <string.h>

#include "client_api.h"
#include "event.h"
#include "node_agent_links.h"
#include "node_clients.h"
#include "node_evacuations.h"
#include "node_isolation.h"
#include "node_metrics.h"
#include "node_peers.h"
#include "node_run_records.h"

enum {
	TICK_INTERVAL_MS = 10,
	PEERS_TICK_INTERVAL_MS = 50,
	MAX_JOBS = 20000,		 /* limit on the unfinished jobs of one entry */
	ENDED_JOBS_RETENTION_MS = 10000, /* a request may be repeated seconds after its answer */
	/* Limit on the ended jobs kept, of this entry and all others, at about 110 bytes each. Over
	 * the retention time it allows 4,000 jobs per second, three times the usual load of 55
	 * entries. */
	MAX_ENDED_JOBS = 40000,
	/* Limit on the tasks whose crashes are remembered, at about 200 bytes each. */
	MAX_CRASHED_TASKS = 10000,
	PROBE_MAX_BYTES = 4096,
	PROBE_HEADER_LIMIT_MS = 2000,
	PROBE_IDLE_LIMIT_MS = 60000,
	MS_PER_S = 1000,
	/* Time after a start or freeze of this process in which jobs may wait for agents. */
	AGENT_CONNECT_MS = 1000,
	/* Delay after the start before the connected servers are first counted for the agents. All
	 * hosts should have started by then. */
	COUNT_SERVERS_DELAY_MS = 5000,
	COUNT_SERVERS_INTERVAL_MS = 500,
	/* A stopping entry keeps serving for at least this long, unless its grace period ends
	 * sooner. The load balancer needs two failed probes, one second apart, to notice that the
	 * entry is not ready. */
	LOAD_BALANCER_DELAY_MS = 2500,
	/* All jobs are answered this long before the grace period ends. */
	ANSWER_MARGIN_MS = 450,
	/* The event loop stops this long before the grace period ends. The difference to
	 * ANSWER_MARGIN_MS is enough to stop the runs of the jobs that were answered last. */
	STOP_MARGIN_MS = 300,
	/* Added to the settle timeout: the lease at the backend server may expire late, and the
	 * agent may detect late that the owner of a run (the entry that ordered it) is unreachable.
	 */
	SETTLE_MARGIN_MS = 200,
	/* A machine may be suspended for seconds (the platform's pages). One that has not been
	 * heard for longer has been removed. */
	HOST_RETURN_MS = 60000,
	PERCENT = 100
};

static bool is_ready(const struct node_entry *entry)
{
	return !entry->stopping && !entry->partition.cut_off && entry->config.table &&
	       node_agent_links_count_serving(entry) > 0;
}

static void on_readiness_request(void *context, struct http_request *request)
{
	struct node_entry *entry = context;
	bool ready = is_ready(entry);

	if (strcmp(http_request_path(request), "/metrics") == 0) {
		counter_set(&node_metrics[NODE_METRIC_CONFIG_VERSION],
			    (int64_t)node_config_version(&entry->config));
		counter_set(&node_metrics[NODE_METRIC_CONFIG_UNCONFIRMED],
			    node_config_unconfirmed_ms(&entry->config));
		counter_set(&node_metrics[NODE_METRIC_EVACUATED_ZONES],
			    (int64_t)entry->evacuations.zones->len);
		node_metrics_answer(request);
		return;
	}
	if (strcmp(http_request_path(request), "/evacuations") == 0) {
		char *body = node_evacuations_to_json(&entry->evacuations);

		http_respond(request, 200, NULL, body);
		free(body);
		return;
	}
	if (!client_is_readiness_probe(request)) {
		http_respond(request, 404, NULL, "{}");
		return;
	}
	if (ready != entry->reported_ready)
		event_log(EVENT_READINESS, EV_S("state", ready ? "ready" : "not_ready"),
			  EV_I("config_version", node_config_version(&entry->config)),
			  EV_I("servers", node_agent_links_count_serving(entry)));
	entry->reported_ready = ready;
	http_respond(request, ready ? 200 : 503, NULL, "{}");
}

/* Requests are answered at once, so there is nothing to release. */
static void on_readiness_disconnected(void *context, struct http_request *request)
{
}

static const struct http_server_callbacks readiness_callbacks = {
	.on_request = on_readiness_request,
	.on_disconnected = on_readiness_disconnected,
};

static bool on_link_up(void *context, struct node_link *link, const Ggd__Hello *hello)
{
	struct node_entry *entry = context;

	if (hello->address[0] == '\0')
		return node_agent_links_register(entry, link, hello);
	return node_peers_link_up(entry, link, hello);
}

/* Nothing is registered for a link before the hello message. */
static void on_link_down(void *context, struct node_link *link, const char *reason)
{
}

/* Callbacks of an accepted link until its peer has sent the hello message. They are then replaced
 * according to the kind of peer. */
static const struct node_link_callbacks accepted_callbacks = {
	.up = on_link_up,
	.down = on_link_down,
};

static void on_accept(void *context, struct net_conn *conn)
{
	struct node_entry *entry = context;

	node_link_accept(&entry->links, conn, &accepted_callbacks, entry);
}

static void on_config(void *context, const struct route_table *table)
{
	node_clients_apply_config(context, table);
}

static void on_evacuations_read(void *context)
{
	node_agent_links_evacuations_changed(context);
}

static void on_store_recovered(void *context)
{
	struct node_entry *entry = context;

	node_members_refresh(&entry->members);
}

static void on_placed(void *context, const char *id, uint32_t tasks, uint32_t waiting,
		      const char *servers, int64_t report_age_us)
{
	event_log(EVENT_JOB_PLACED, EV_S("job", id), EV_I("tasks", tasks), EV_I("waiting", waiting),
		  EV_S("servers", servers), EV_I("report_age_ms", report_age_us / US_PER_MS));
}

static void on_run_ended(void *context, const char *id, uint32_t index, uint32_t attempt,
			 const char *server, enum run_outcome outcome, int64_t elapsed_us)
{
	node_run_records_settled(context, id, index);
	node_metrics_run_ended(outcome, elapsed_us);
	if (outcome == RUN_DONE)
		return;
	event_log(EVENT_RUN_NOT_DONE, EV_S("job", id), EV_I("task", index),
		  EV_I("attempt", attempt), EV_S("server", server),
		  EV_S("outcome", run_outcome_name(outcome)),
		  EV_I("elapsed_ms", elapsed_us / US_PER_MS));
}

static void on_iteration(void *context, int64_t now_us)
{
	struct node_entry *entry = context;

	node_isolation_check(entry);
	dispatch_pump(&entry->dispatch, now_us);
	node_peers_send_run_records(entry);
	node_agent_links_send_queued(entry);
}

/* During a shutdown, stops the event loop once the load balancer has had time to stop sending
 * requests, no job is unanswered and no run is being stopped, or shortly before the grace period
 * ends. */
static void stop_if_drained(struct node_entry *entry, int64_t now_us)
{
	int64_t since_ms = (now_us - entry->stop_requested_us) / US_PER_MS;
	int64_t grace_ms = (int64_t)(entry->settings->grace_s * MS_PER_S);

	if (!entry->stopping)
		return;
	if ((since_ms < LOAD_BALANCER_DELAY_MS || entry->unfinished_submissions > 0 ||
	     dispatch_has_stopping_runs(&entry->dispatch)) &&
	    since_ms < grace_ms - STOP_MARGIN_MS)
		return;
	/* Requests may still be read before the loop ends. */
	dispatch_drain(&entry->dispatch, now_us, now_us);
	node_clients_refuse_pending(entry);
	net_loop_stop(&entry->loop);
}

/* Logs the queues that have become suspects by crashes seen at this entry. */
static void log_suspects(struct node_entry *entry, int64_t now_us)
{
	const struct bulkhead *bulkhead = &entry->dispatch.bulkhead;
	GArray *reports;

	if (entry->logged_suspicions == bulkhead->changes)
		return;
	entry->logged_suspicions = bulkhead->changes;
	reports = g_array_new(FALSE, FALSE, sizeof(struct bulkhead_report));
	bulkhead_seen_here(bulkhead, reports, now_us);
	for (guint i = 0; i < reports->len; i++) {
		const struct bulkhead_report *report =
			&g_array_index(reports, struct bulkhead_report, i);

		event_log(EVENT_QUEUE_SEPARATED, EV_S("queue", report->queue),
			  EV_I("share_percent", (int64_t)(report->share * PERCENT)));
		counter_add(&node_metrics[NODE_METRIC_QUEUES_SEPARATED], 1);
	}
	g_array_free(reports, TRUE);
}

static void tick_dispatch(void *context, int64_t now_us)
{
	struct node_entry *entry = context;

	if (entry->dispatch.queue->len > 0)
		entry->dispatch.pump_needed = true;
	dispatch_tick(&entry->dispatch, now_us);
	log_suspects(entry, now_us);
	node_peers_tell_lost_agents(entry, now_us);
	stop_if_drained(entry, now_us);
}

static void tick_peers(void *context, int64_t now_us)
{
	struct node_entry *entry = context;

	node_peers_tick(entry, now_us);
	if (entry->config.store_unavailable || node_config_version(&entry->config) == 0)
		node_agent_links_request_config(entry, now_us);
}

static void count_servers(void *context, int64_t now_us)
{
	node_agent_links_count_servers(context);
}

static void on_freeze(void *context, int64_t gap_us)
{
	struct node_entry *entry = context;

	event_log(EVENT_PROCESS_FROZEN, EV_I("gap_ms", gap_us / US_PER_MS),
		  EV_I("jobs", dispatch_job_count(&entry->dispatch)));
	dispatch_abort_all(&entry->dispatch, "the entry process was frozen", entry->loop.now_us);
	node_peers_send_run_records(entry);
	node_agent_links_send_queued(entry);
	node_agent_links_close_all(entry);
	node_peers_await_holds(entry);
	node_peers_close_links(entry);
	/* The agents connect again within milliseconds, so new requests wait for them. */
	dispatch_await_agents(&entry->dispatch, entry->loop.now_us);
	node_isolation_start(entry);
}

static void on_terminate(void *context)
{
	struct node_entry *entry = context;
	int64_t grace_ms = (int64_t)(entry->settings->grace_s * MS_PER_S);

	if (entry->stopping)
		return;
	entry->stopping = true;
	entry->stop_requested_us = entry->loop.now_us;
	dispatch_drain(&entry->dispatch,
		       entry->loop.now_us + (grace_ms - ANSWER_MARGIN_MS) * US_PER_MS,
		       entry->loop.now_us);
	http_server_disable_keep_alive(entry->client_server);
	event_log(EVENT_DRAIN_STARTED, EV_I("requests", entry->unfinished_submissions));
}

static void on_reload(void *context)
{
	struct node_entry *entry = context;

	node_reload_now(&entry->reload);
}

static void start_dispatch(struct node_entry *entry)
{
	const struct node_settings *settings = entry->settings;
	int64_t lease_ms = node_settings_run_lease_ms(settings) *
			   (PERCENT + NODE_CLOCK_DRIFT_PERCENT) / PERCENT;
	const struct dispatch_limits limits = {
		.max_jobs = MAX_JOBS,
		.settle_timeout_us =
			(node_settings_silence_timeout_ms(settings) + NODE_STOP_WAIT_MS + lease_ms +
			 (int64_t)settings->stop_ms + SETTLE_MARGIN_MS) *
			US_PER_MS,
		.hold_timeout_us = (node_settings_silence_timeout_ms(settings) + NODE_STOP_WAIT_MS +
				    SETTLE_MARGIN_MS) *
				   US_PER_MS,
		.host_return_us = HOST_RETURN_MS * US_PER_MS,
		.connect_time_us = AGENT_CONNECT_MS * US_PER_MS,
		.crash_retention_us = ENDED_JOBS_RETENTION_MS * US_PER_MS,
		.max_crashed_tasks = MAX_CRASHED_TASKS,
	};
	const struct dispatch_callbacks callbacks = {
		.context = entry,
		.start_run = node_agent_links_start_run,
		.stop_run = node_agent_links_stop_run,
		.job_finished = node_clients_job_finished,
		.tasks_placed = on_placed,
		.run_ended = on_run_ended,
	};
	const struct ident *incarnation = &entry->links.identity.incarnation;
	uint64_t seed;

	memcpy(&seed, incarnation->bytes, sizeof(seed));
	dispatch_init(&entry->dispatch, &limits, &callbacks, seed);
	entry->dispatch.policy.shed_by_share = settings->shed_by_share;
	policy_switch_off(&entry->dispatch.policy, settings->policy_off);
	if (settings->local_zone)
		g_strlcpy(entry->dispatch.local_zone, settings->zone,
			  sizeof(entry->dispatch.local_zone));
	entry->dispatch.local_zone_servers = (uint32_t)settings->local_zone_servers;
	dispatch_await_agents(&entry->dispatch, entry->loop.now_us);
}

static enum status start_listeners(struct node_entry *entry, struct error *err)
{
	const struct http_server_options options = {
		.header_max_bytes = PROBE_MAX_BYTES,
		.body_max_bytes = PROBE_MAX_BYTES,
		.request_limit_ms = PROBE_HEADER_LIMIT_MS,
		.idle_limit_ms = PROBE_IDLE_LIMIT_MS,
	};
	enum status status;

	char *address = g_strdup_printf("%s:%" G_GINT64_FORMAT, entry->settings->host_ip,
					entry->settings->peer_port);

	status = net_listen(&entry->loop, address, on_accept, entry, &entry->listener, err);
	g_free(address);
	if (status == STATUS_OK)
		status = node_clients_start(entry, err);
	if (status == STATUS_OK)
		status = http_server_listen(&entry->loop, entry->settings->readiness_address,
					    &options, &readiness_callbacks, entry,
					    &entry->readiness_server, err);
	return status;
}

static void start_store_readers(struct node_entry *entry)
{
	const struct node_settings *settings = entry->settings;

	entry->store = store_new(&entry->loop, settings->store_address);
	entry->store_probe = store_probe_new(&entry->loop, settings->store_address,
					     node_isolation_probe_answered, entry);
	node_members_init(&entry->members, &(struct node_members_options){
						   .loop = &entry->loop,
						   .store = entry->store,
						   .seeds = settings->seeds,
						   .peer_port = settings->peer_port,
						   .own_address = entry->own_address,
						   .name = settings->name,
						   .address_added = node_peers_add,
						   .context = entry,
					   });
	node_members_refresh(&entry->members);
	entry->config = (struct node_config){
		.loop = &entry->loop,
		.store = entry->store,
		.apply_limit_ms = (int64_t)settings->config_apply_ms,
		.evacuations = &entry->evacuations,
		.applied = on_config,
		.evacuations_read = on_evacuations_read,
		.store_recovered = on_store_recovered,
		.context = entry,
	};
	node_config_read_newest(&entry->config);
}

enum exit_code node_entry_run(const char *settings_file, const struct node_settings *settings)
{
	struct node_entry *entry = g_new0(struct node_entry, 1);
	struct error err;

	entry->settings = settings;
	entry->own_address = g_strdup_printf("%s:%" G_GINT64_FORMAT,
					     settings->advertised_ip ? settings->advertised_ip
								     : settings->host_ip,
					     settings->peer_port);
	entry->agents = g_ptr_array_new();
	entry->outgoing_peers = g_ptr_array_new();
	evacuations_init(&entry->evacuations);
	node_metrics_register();
	net_loop_init(&entry->loop);
	entry->loop.on_iteration = on_iteration;
	entry->loop.iteration_context = entry;
	entry->loop.on_freeze = on_freeze;
	entry->loop.freeze_context = entry;
	node_links_init(&entry->links, &entry->loop,
			&(struct node_identity){
				.incarnation = ident_random(),
				.name = settings->name,
				.zone = settings->zone,
				.address = entry->own_address,
			},
			node_settings_silence_timeout_ms(settings));
	start_dispatch(entry);
	node_peers_await_holds(entry);
	entry->isolation.timeout_us = node_settings_silence_timeout_ms(settings) * US_PER_MS;
	node_isolation_start(entry);
	entry->config_pull.apply_limit_us = (int64_t)(settings->config_apply_ms * US_PER_MS);
	entry->config_relay.apply_limit_us = entry->config_pull.apply_limit_us;
	ended_jobs_init(&entry->ended_jobs, ENDED_JOBS_RETENTION_MS * US_PER_MS, MAX_ENDED_JOBS);
	node_signals_start(&entry->signals, &entry->loop, on_terminate, on_reload, entry);
	if (start_listeners(entry, &err) != STATUS_OK) {
		event_log_error(EVENT_PROCESS_FAILED, &err);
		return EXIT_CODE_RUNTIME;
	}
	start_store_readers(entry);
	node_reload_start(&entry->reload, &entry->loop, settings_file, &entry->members);
	timer_subscribe(&entry->loop.timers, entry->loop.now_us, TICK_INTERVAL_MS * US_PER_MS,
			tick_dispatch, entry);
	timer_subscribe(&entry->loop.timers, entry->loop.now_us, PEERS_TICK_INTERVAL_MS * US_PER_MS,
			tick_peers, entry);
	timer_subscribe(&entry->loop.timers,
			entry->loop.now_us + COUNT_SERVERS_DELAY_MS * US_PER_MS,
			COUNT_SERVERS_INTERVAL_MS * US_PER_MS, count_servers, entry);
	net_loop_run(&entry->loop);
	event_log(EVENT_DRAIN_FINISHED, EV_I("requests", entry->unfinished_submissions));
	return EXIT_CODE_OK;
}
