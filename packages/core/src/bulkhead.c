#include "bulkhead.h"

#include <string.h>
#include <xxhash.h>

#include "core_defs.h"

enum {
	/* A suspicion ends this long after the last crash. Servers that have crashed are back and
	 * can crash again within this time. */
	SUSPICION_US = 5 * US_PER_SECOND,
	/* A report of another entry counts this long. The entry repeats it with each heartbeat, of
	 * which two may be late. */
	REPORT_US = 1500 * US_PER_MS,
	/* A suspicion that is not proven ends after this time. By then the server has answered, or
	 * its last lease has expired and its crash is taken for proven. */
	UNPROVEN_US = 1500 * US_PER_MS,
	MAX_SHARE_PERCENT =
		95, /* with more of the work there is nothing to separate a queue from */
	PERCENT = 100
};

struct suspect_queue {
	char *queue;
	char *service;
	double share; /* of the work for the service */
	int64_t until_us;
	int64_t seen_until_us; /* the same, by crashes seen at this entry */
	bool separated; /* false: its service has too few servers for partitions of their own */
};

static void free_suspect(gpointer data)
{
	struct suspect_queue *suspect = data;

	g_free(suspect->queue);
	g_free(suspect->service);
	g_free(suspect);
}

void bulkhead_init(struct bulkhead *bulkhead)
{
	*bulkhead = (struct bulkhead){.suspects = g_ptr_array_new_with_free_func(free_suspect)};
}

void bulkhead_free(struct bulkhead *bulkhead)
{
	g_ptr_array_free(bulkhead->suspects, TRUE);
}

static struct suspect_queue *find(const struct bulkhead *bulkhead, const char *queue, guint *index)
{
	for (*index = 0; *index < bulkhead->suspects->len; (*index)++) {
		struct suspect_queue *suspect = bulkhead->suspects->pdata[*index];

		if (strcmp(suspect->queue, queue) == 0)
			return suspect;
	}
	return NULL;
}

void bulkhead_suspect(struct bulkhead *bulkhead, const char *queue, const char *service,
		      double share, enum bulkhead_evidence evidence, int64_t now_us)
{
	static const int64_t durations_us[] = {
		[BULKHEAD_REPORTED] = REPORT_US,
		[BULKHEAD_UNPROVEN] = UNPROVEN_US,
		[BULKHEAD_PROVEN] = SUSPICION_US,
	};
	int64_t until_us = now_us + durations_us[evidence];
	guint index;
	struct suspect_queue *suspect = find(bulkhead, queue, &index);

	if (!suspect) {
		suspect = g_new0(struct suspect_queue, 1);
		suspect->queue = g_strdup(queue);
		suspect->service = g_strdup(service);
		suspect->share = CLAMP(share, 0.0, 1.0);
		g_ptr_array_add(bulkhead->suspects, suspect);
	}
	/* Entries that suspect the queue at the same time settle on the highest share. */
	if (evidence == BULKHEAD_REPORTED)
		suspect->share = MAX(suspect->share, CLAMP(share, 0.0, 1.0));
	if (evidence != BULKHEAD_REPORTED) {
		bulkhead->changes += suspect->seen_until_us <= now_us;
		suspect->seen_until_us = MAX(suspect->seen_until_us, until_us);
	}
	suspect->until_us = MAX(suspect->until_us, until_us);
}

/* A server that may be given to a suspect, and its rank by which it is chosen. */
struct candidate {
	struct fleet_server *server;
	uint64_t rank;
};

static int by_rank(const void *a, const void *b)
{
	const struct candidate *left = a;
	const struct candidate *right = b;

	return left->rank < right->rank ? 1 : left->rank > right->rank ? -1 : 0;
}

/* Returns the number of connected servers of SERVICE, and the maximum of each of their resources in
 * LARGEST. */
static uint32_t count_servers(const struct fleet *fleet, const char *service,
			      struct resources *largest)
{
	const struct fleet_server *server;
	uint32_t servers = 0;
	uint32_t cursor = 0;

	*largest = (struct resources){0};
	while ((server = table_next(&fleet->servers, &cursor, NULL))) {
		if (!server->link || strcmp(server->service, service) != 0)
			continue;
		servers++;
		largest->cpu = MAX(largest->cpu, server->total.cpu);
		largest->memory_mb = MAX(largest->memory_mb, server->total.memory_mb);
		largest->gpus = MAX(largest->gpus, server->total.gpus);
	}
	return servers;
}

/* Returns the shared servers that fit all tasks that any server fits, the first choice of SUSPECT
 * first. */
static GArray *find_candidates(struct fleet *fleet, const struct suspect_queue *suspect,
			       const struct resources *largest)
{
	GArray *candidates = g_array_new(FALSE, FALSE, sizeof(struct candidate));
	uint32_t cursor = 0;
	struct fleet_server *server;

	while ((server = table_next(&fleet->servers, &cursor, NULL))) {
		struct candidate candidate = {.server = server};

		if (!server->link || !resources_fit(largest, &server->total) ||
		    !fleet_serves(server, suspect->service, BULKHEAD_SHARED))
			continue;
		candidate.rank = XXH64(suspect->queue, strlen(suspect->queue),
				       XXH64(server->agent, strlen(server->agent), 0));
		g_array_append_val(candidates, candidate);
	}
	g_array_sort(candidates, by_rank);
	return candidates;
}

/* Gives the suspect at INDEX its share of the servers, rounded down, but at least one. Both it and
 * the other queues have a server as large as the largest one, or nothing is separated. */
static void separate(struct bulkhead *bulkhead, struct fleet *fleet, guint index)
{
	struct suspect_queue *suspect = bulkhead->suspects->pdata[index];
	struct resources largest;
	uint32_t servers = count_servers(fleet, suspect->service, &largest);
	uint32_t taken = MAX((uint32_t)(suspect->share * servers), 1);
	GArray *candidates = find_candidates(fleet, suspect, &largest);

	suspect->separated =
		candidates->len > 1 && suspect->share < MAX_SHARE_PERCENT / (double)PERCENT;
	for (guint i = 0; suspect->separated && i < taken && i + 1 < candidates->len; i++)
		g_array_index(candidates, struct candidate, i).server->partition = index + 1;
	g_array_free(candidates, TRUE);
}

static void share_all(struct fleet *fleet)
{
	uint32_t cursor = 0;
	struct fleet_server *server;

	while ((server = table_next(&fleet->servers, &cursor, NULL)))
		server->partition = BULKHEAD_SHARED;
}

static int by_name(const void *a, const void *b)
{
	const struct suspect_queue *const *left = a;
	const struct suspect_queue *const *right = b;

	return strcmp((*left)->queue, (*right)->queue);
}

void bulkhead_update(struct bulkhead *bulkhead, struct fleet *fleet, int64_t now_us)
{
	if (bulkhead->suspects->len == 0)
		return;
	for (guint i = bulkhead->suspects->len; i-- > 0;) {
		const struct suspect_queue *suspect = bulkhead->suspects->pdata[i];

		if (now_us > suspect->until_us)
			g_ptr_array_remove_index(bulkhead->suspects, i);
	}
	share_all(fleet);
	/* In the order of names, so that all entries assign alike. */
	g_ptr_array_sort(bulkhead->suspects, by_name);
	for (guint i = 0; i < bulkhead->suspects->len; i++)
		separate(bulkhead, fleet, i);
}

uint32_t bulkhead_partition(const struct bulkhead *bulkhead, const char *queue, const char *service)
{
	guint index;
	const struct suspect_queue *suspect = find(bulkhead, queue, &index);

	return suspect && suspect->separated && g_strcmp0(suspect->service, service) == 0
		       ? index + 1
		       : BULKHEAD_SHARED;
}

void bulkhead_seen_here(const struct bulkhead *bulkhead, GArray *reports, int64_t now_us)
{
	for (guint i = 0; i < bulkhead->suspects->len; i++) {
		const struct suspect_queue *suspect = bulkhead->suspects->pdata[i];
		const struct bulkhead_report report = {suspect->queue, suspect->share};

		if (suspect->seen_until_us > now_us)
			g_array_append_val(reports, report);
	}
}
