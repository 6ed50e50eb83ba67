#include "fleet.h"

#include <string.h>

struct fleet_order {
	uint64_t number;
	struct room need;
};

void fleet_init(struct fleet *fleet)
{
	table_init(&fleet->servers, sizeof(struct fleet_server));
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
}

struct handle fleet_add(struct fleet *fleet, void *link)
{
	struct handle handle;
	struct fleet_server *server = table_add(&fleet->servers, &handle);

	server->link = link;
	server->speed = 1.0;
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
}

struct fleet_server *fleet_get(const struct fleet *fleet, struct handle server)
{
	return table_get(&fleet->servers, server);
}

static void take(struct room *room, const struct room *need)
{
	room->cpu -= MIN(room->cpu, need->cpu);
	room->memory_mb -= MIN(room->memory_mb, need->memory_mb);
	room->gpus -= MIN(room->gpus, need->gpus);
}

void fleet_apply_report(struct fleet_server *server, const struct fleet_report *report,
			int64_t now_us)
{
	struct fleet_order *order;

	server->ready = report->ready;
	server->on_trial = report->on_trial;
	server->reported = report->free;
	server->speed = report->speed;
	server->speed_known = report->speed_known;
	server->reported_us = now_us;
	while ((order = g_queue_peek_head(&server->orders)) &&
	       order->number <= report->orders_counted) {
		g_queue_pop_head(&server->orders);
		g_free(order);
	}
	server->free = server->reported;
	for (GList *item = server->orders.head; item; item = item->next) {
		order = item->data;
		take(&server->free, &order->need);
	}
}

void fleet_note_order(struct fleet_server *server, const struct room *need, uint64_t number)
{
	struct fleet_order *order = g_new(struct fleet_order, 1);

	*order = (struct fleet_order){.number = number, .need = *need};
	g_queue_push_tail(&server->orders, order);
	take(&server->free, need);
}

struct fleet_sum fleet_sum(const struct fleet *fleet, const char *service, const struct room *need)
{
	struct fleet_sum sum = {0};
	uint32_t cursor = 0;
	const struct fleet_server *server;

	while ((server = table_next(&fleet->servers, &cursor, NULL))) {
		if (!server->ready || strcmp(server->service, service) != 0)
			continue;
		sum.servers++;
		sum.cpu += server->total.cpu;
		sum.free_cpu += server->free.cpu;
		sum.speed_cpu += server->speed * server->total.cpu;
		sum.fastest = MAX(sum.fastest, server->speed);
		sum.fits = sum.fits || room_fits(need, &server->total);
	}
	return sum;
}
