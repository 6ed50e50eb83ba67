#include "routes.h"

#include <glib.h>
#include <string.h>

const struct route *route_find(const struct route_table *table, const char *host, const char *path)
{
	size_t host_length = strcspn(host, ":");
	const struct route *best = NULL;
	size_t best_length = 0;

	for (size_t i = 0; i < table->count; i++) {
		const struct route *route = &table->routes[i];
		size_t length = strlen(route->path_prefix);

		if (best && length <= best_length)
			continue;
		if (strlen(route->host) != host_length ||
		    g_ascii_strncasecmp(route->host, host, host_length) != 0)
			continue;
		if (strncmp(path, route->path_prefix, length) != 0)
			continue;
		best = route;
		best_length = length;
	}
	return best;
}

void route_table_free(struct route_table *table)
{
	if (!table)
		return;
	for (size_t i = 0; i < table->count; i++) {
		g_free(table->routes[i].name);
		g_free(table->routes[i].host);
		g_free(table->routes[i].path_prefix);
		g_free(table->routes[i].service);
	}
	g_free(table->routes);
	g_free(table);
}
