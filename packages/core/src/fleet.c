#include "fleet.h"

#include <string.h>

enum {
	DEFAULT_RUN_US = 200 * US_PER_MS,    /* used until a server reports its mean run time */
	RETRY_INTERVAL_US = 1500 * US_PER_MS /* between single runs at a very slow server */
};

struct fleet_order {
	uint64_t number;
	struct resources need;
	uint32_t priority;
};

static const double min_useful_speed = 0.2; /* relative to the median sound server */
/* A server slower than the upper quartile by more than this factor counts as degraded. Sound
 * servers differ by a factor of two to three, including errors of measurement. */
static const double degraded_factor = 0.25;

void fleet_init(struct fleet *fleet)
{
	table_init(&fleet->servers, sizeof(struct fleet_server));
	fleet->speeds = g_array_new(FALSE, FALSE, sizeof(double));
}

static void clear_orders(struct fleet_server *server)
{
	g_queue_clear_full(&server->orders, g_free);
}

void fleet_free(struct fleet *fleet)
{
	uint32_t cursor = 0;
	struct fleet_server *server;

	while ((server = table_next(&fleet->servers, &cursor, NULL)))
		clear_orders(server);
	table_free(&fleet->servers);
	g_array_free(fleet->speeds, TRUE);
}

struct handle fleet_add(struct fleet *fleet, void *link)
{
	struct handle handle;
	struct fleet_server *server = table_add(&fleet->servers, &handle);

	server->link = link;
	server->speed = 1.0;
	server->reported_speed = 1.0;
	g_queue_init(&server->orders);
	return handle;
}

void fleet_remove(struct fleet *fleet, struct handle handle)
{
	struct fleet_server *server = table_get(&fleet->servers, handle);

	if (!server)
		return;
	clear_orders(server);
	table_remove(&fleet->servers, handle);
	fleet->speeds_stale = true;
}

struct fleet_server *fleet_get(const struct fleet *fleet, struct handle server)
{
	return table_get(&fleet->servers, server);
}

uint32_t fleet_waiting_cpu_ahead(const struct fleet_server *server, uint32_t priority)
{
	uint32_t cpu = 0;

	for (uint32_t i = 0; i < PRIORITY_LEVELS && i <= priority; i++)
		cpu += server->waiting_cpu[i];
	return cpu;
}

/* Subtracts an order from the free resources of SERVER, or counts it as waiting if it does not fit
 * or other runs wait. */
static void count_order(struct fleet_server *server, const struct resources *need,
			uint32_t priority)
{
	if (fleet_waiting_cpu_ahead(server, PRIORITY_LEVELS) > 0 ||
	    !resources_fit(need, &server->free)) {
		server->waiting_cpu[MIN(priority, PRIORITY_LEVELS - 1)] += need->cpu;
		return;
	}
	server->free.cpu -= need->cpu;
	server->free.memory_mb -= need->memory_mb;
	server->free.gpus -= need->gpus;
}

static int compare_doubles(const void *a, const void *b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return (left > right) - (left < right);
}

/* Returns the median of the sorted SPEEDS, leaving out degraded servers. */
static double median_sound_speed(const GArray *speeds)
{
	double upper_quartile = g_array_index(speeds, double, speeds->len * 3 / 4);
	guint first = 0;

	while (g_array_index(speeds, double, first) < degraded_factor * upper_quartile)
		first++;
	return g_array_index(speeds, double, (first + speeds->len) / 2);
}

/* Run times are predicted from speeds, and speeds are learned from predicted run times, so both
 * could drift together. Dividing by the median speed prevents this. */
void fleet_normalize_speeds(struct fleet *fleet)
{
	uint32_t cursor = 0;
	struct fleet_server *server;
	double median;

	if (!fleet->speeds_stale)
		return;
	fleet->speeds_stale = false;
	g_array_set_size(fleet->speeds, 0);
	while ((server = table_next(&fleet->servers, &cursor, NULL))) {
		if (server->ready && server->speed_known)
			g_array_append_val(fleet->speeds, server->reported_speed);
	}
	if (fleet->speeds->len == 0)
		return;
	g_array_sort(fleet->speeds, compare_doubles);
	median = median_sound_speed(fleet->speeds);
	cursor = 0;
	while ((server = table_next(&fleet->servers, &cursor, NULL)))
		server->speed = server->speed_known ? server->reported_speed / median : 1.0;
}

/* Returns whether SERVER has become ready or not ready. */
static bool update_ready(struct fleet *fleet, struct fleet_server *server)
{
	bool ready = server->reported_ready && !server->evacuated;

	if (server->ready == ready)
		return false;
	server->ready = ready;
	fleet->speeds_stale = true;
	return true;
}

bool fleet_set_evacuated(struct fleet *fleet, struct fleet_server *server, bool evacuated)
{
	server->evacuated = evacuated;
	return update_ready(fleet, server);
}

bool fleet_apply_report(struct fleet *fleet, struct fleet_server *server,
			const struct fleet_report *report, int64_t now_us)
{
	uint32_t free_before = server->free.cpu;
	uint32_t waiting_before = fleet_waiting_cpu_ahead(server, PRIORITY_LEVELS);
	bool ready_changed;
	struct fleet_order *order;

	server->on_trial = report->on_trial;
	server->reported_ready = report->ready;
	ready_changed = update_ready(fleet, server);
	if (report->speed != server->reported_speed || server->speed_known != report->speed_known) {
		if (report->speed != server->reported_speed)
			server->speed_changed_us = now_us;
		server->reported_speed = report->speed;
		server->speed_known = report->speed_known;
		fleet->speeds_stale = true;
	}
	server->reported_us = now_us;
	server->settled_orders = report->settled_orders;
	while ((order = g_queue_peek_head(&server->orders)) &&
	       order->number <= report->last_order_accounted) {
		g_queue_pop_head(&server->orders);
		g_free(order);
	}
	server->run_us = report->run_us;
	server->free = report->free;
	memcpy(server->waiting_cpu, report->waiting_cpu, sizeof(server->waiting_cpu));
	for (GList *item = server->orders.head; item; item = item->next) {
		order = item->data;
		count_order(server, &order->need, order->priority);
	}
	return ready_changed || server->free.cpu > free_before ||
	       fleet_waiting_cpu_ahead(server, PRIORITY_LEVELS) < waiting_before;
}

void fleet_record_order(struct fleet_server *server, const struct resources *need,
			uint32_t priority, uint64_t number)
{
	struct fleet_order *order = g_new(struct fleet_order, 1);

	*order = (struct fleet_order){.number = number, .need = *need, .priority = priority};
	g_queue_push_tail(&server->orders, order);
	count_order(server, need, priority);
}

int64_t fleet_mean_run_us(const struct fleet_server *server)
{
	return server->run_us > 0 ? server->run_us : DEFAULT_RUN_US;
}

bool fleet_is_useful(const struct fleet_server *server)
{
	return !server->on_trial && server->speed >= min_useful_speed;
}

bool fleet_is_tested(const struct fleet_server *server, int64_t now_us)
{
	return server->on_trial ||
	       (!fleet_is_useful(server) && now_us - server->speed_changed_us > RETRY_INTERVAL_US);
}

static void add_server_total(struct fleet_totals *sum, const struct resources *total)
{
	if (sum->servers++ == 0)
		sum->min_total = *total;
	sum->min_total.cpu = MIN(sum->min_total.cpu, total->cpu);
	sum->min_total.memory_mb = MIN(sum->min_total.memory_mb, total->memory_mb);
	sum->min_total.gpus = MIN(sum->min_total.gpus, total->gpus);
}

struct fleet_totals fleet_compute_totals(const struct fleet *fleet, const char *service,
					 uint32_t partition)
{
	struct fleet_totals sum = {0};
	uint32_t cursor = 0;
	const struct fleet_server *server;

	while ((server = table_next(&fleet->servers, &cursor, NULL))) {
		if (!server->ready || !fleet_serves(server, service, partition))
			continue;
		add_server_total(&sum, &server->total);
		if (!fleet_is_useful(server))
			continue;
		sum.cpu += server->total.cpu;
		sum.free_cpu += server->free.cpu;
		sum.speed_weighted_cpu += server->speed * server->total.cpu;
		sum.cpu_release_rate +=
			(double)server->total.cpu / (double)fleet_mean_run_us(server);
		sum.max_speed = MAX(sum.max_speed, server->speed);
	}
	return sum;
}

bool fleet_any_server_fits(const struct fleet *fleet, const char *service, uint32_t partition,
			   const struct resources *need)
{
	uint32_t cursor = 0;
	const struct fleet_server *server;

	while ((server = table_next(&fleet->servers, &cursor, NULL))) {
		if (server->ready && resources_fit(need, &server->total) &&
		    fleet_serves(server, service, partition))
			return true;
	}
	return false;
}
