#include "timer.h"

#include <glib.h>
#include <time.h>

enum {
	US_PER_S = 1000000,
	NS_PER_US = 1000,
	MS_PER_S = 1000,
	NS_PER_MS = 1000000
};

struct subscription {
	int64_t due_us;
	int64_t period_us;
	timer_callback callback;
	void *context;
	uint32_t heap_index;
};

int64_t timer_clock_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * US_PER_S + ts.tv_nsec / NS_PER_US;
}

int64_t timer_wall_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (int64_t)ts.tv_sec * MS_PER_S + ts.tv_nsec / NS_PER_MS;
}

void timer_init(struct timer_service *service)
{
	*service = (struct timer_service){0};
	table_init(&service->subscriptions, sizeof(struct subscription));
}

void timer_free(struct timer_service *service)
{
	table_free(&service->subscriptions);
	g_free(service->heap);
	*service = (struct timer_service){0};
}

static struct subscription *subscription_at(const struct timer_service *service, uint32_t index)
{
	return table_get(&service->subscriptions, service->heap[index]);
}

static void heap_swap(struct timer_service *service, uint32_t a, uint32_t b)
{
	struct handle handle = service->heap[a];

	service->heap[a] = service->heap[b];
	service->heap[b] = handle;
	subscription_at(service, a)->heap_index = a;
	subscription_at(service, b)->heap_index = b;
}

static void heap_sift_up(struct timer_service *service, uint32_t i)
{
	while (i > 0 && subscription_at(service, i)->due_us <
				subscription_at(service, (i - 1) / 2)->due_us) {
		heap_swap(service, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
}

static void heap_sift_down(struct timer_service *service, uint32_t i)
{
	for (;;) {
		uint32_t earliest = i;

		for (uint32_t child = 2 * i + 1; child <= 2 * i + 2; child++) {
			if (child >= service->heap_count)
				break;
			if (subscription_at(service, child)->due_us <
			    subscription_at(service, earliest)->due_us)
				earliest = child;
		}
		if (earliest == i)
			return;
		heap_swap(service, i, earliest);
		i = earliest;
	}
}

static void heap_remove(struct timer_service *service, uint32_t i)
{
	uint32_t last = service->heap_count - 1;

	if (i != last)
		heap_swap(service, i, last);
	service->heap_count--;
	if (i == last)
		return;
	heap_sift_up(service, i);
	heap_sift_down(service, i);
}

struct handle timer_subscribe(struct timer_service *service, int64_t due_us, int64_t period_us,
			      timer_callback callback, void *context)
{
	struct handle handle;
	struct subscription *sub = table_add(&service->subscriptions, &handle);

	*sub = (struct subscription){
		.due_us = due_us,
		.period_us = period_us,
		.callback = callback,
		.context = context,
		.heap_index = service->heap_count,
	};
	if (service->heap_count == service->heap_capacity) {
		service->heap_capacity = service->heap_capacity ? service->heap_capacity * 2 : 16;
		service->heap = g_renew(struct handle, service->heap, service->heap_capacity);
	}
	service->heap[service->heap_count++] = handle;
	heap_sift_up(service, sub->heap_index);
	return handle;
}

void timer_cancel(struct timer_service *service, struct handle handle)
{
	struct subscription *sub = table_get(&service->subscriptions, handle);

	if (!sub)
		return;
	heap_remove(service, sub->heap_index);
	table_remove(&service->subscriptions, handle);
}

void timer_run(struct timer_service *service, int64_t now_us)
{
	while (service->heap_count > 0 && subscription_at(service, 0)->due_us <= now_us) {
		struct subscription *sub = subscription_at(service, 0);
		timer_callback callback = sub->callback;
		void *context = sub->context;

		if (sub->period_us > 0) {
			sub->due_us += sub->period_us;
			if (sub->due_us <= now_us)
				sub->due_us = now_us + sub->period_us;
			heap_sift_down(service, 0);
		} else {
			timer_cancel(service, service->heap[0]);
		}
		callback(context, now_us);
	}
}

int64_t timer_next_us(const struct timer_service *service)
{
	return service->heap_count > 0 ? subscription_at(service, 0)->due_us : INT64_MAX;
}
