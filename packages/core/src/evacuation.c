#include "evacuation.h"

#include <string.h>

void evacuations_init(struct evacuations *evacuations)
{
	*evacuations = (struct evacuations){.zones = g_ptr_array_new_with_free_func(g_free)};
}

void evacuations_free(struct evacuations *evacuations)
{
	g_ptr_array_free(evacuations->zones, TRUE);
}

/* Returns whether ZONE is in the set, and in POSITION where it is or belongs. */
static bool find_zone(const struct evacuations *evacuations, const char *zone, guint *position)
{
	for (*position = 0; *position < evacuations->zones->len; (*position)++) {
		int order = strcmp(evacuations->zones->pdata[*position], zone);

		if (order >= 0)
			return order == 0;
	}
	return false;
}

static void add_zone(struct evacuations *evacuations, const char *zone)
{
	guint position;

	if (zone[0] == '\0' || find_zone(evacuations, zone, &position) ||
	    evacuations->zones->len == EVACUATED_ZONES_MAX)
		return;
	g_ptr_array_insert(evacuations->zones, (gint)position, g_strdup(zone));
	evacuations->set_changes++;
}

static void remove_zone(struct evacuations *evacuations, const char *zone)
{
	guint position;

	if (!find_zone(evacuations, zone, &position))
		return;
	g_ptr_array_remove_index(evacuations->zones, position);
	evacuations->set_changes++;
}

bool evacuations_contains(const struct evacuations *evacuations, const char *zone)
{
	guint position;

	return find_zone(evacuations, zone, &position);
}

static bool is_listed(const char *zone, const char *const *zones, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		if (strcmp(zones[i], zone) == 0)
			return true;
	}
	return false;
}

bool evacuations_replace(struct evacuations *evacuations, uint64_t version,
			 const char *const *zones, size_t count)
{
	if (version <= evacuations->version)
		return false;
	for (guint i = evacuations->zones->len; i-- > 0;) {
		const char *zone = evacuations->zones->pdata[i];

		if (!is_listed(zone, zones, count))
			remove_zone(evacuations, zone);
	}
	return evacuations_extend(evacuations, version, zones, count);
}

bool evacuations_extend(struct evacuations *evacuations, uint64_t version, const char *const *zones,
			size_t count)
{
	if (version <= evacuations->version)
		return false;
	for (size_t i = 0; i < count; i++)
		add_zone(evacuations, zones[i]);
	return evacuations_advance(evacuations, version);
}

void evacuations_apply(struct evacuations *evacuations, uint64_t offset, const char *zone,
		       bool evacuated)
{
	if (offset < evacuations->version)
		return;
	if (evacuated)
		add_zone(evacuations, zone);
	else
		remove_zone(evacuations, zone);
	evacuations->version = offset + 1;
}

bool evacuations_advance(struct evacuations *evacuations, uint64_t version)
{
	if (version <= evacuations->version)
		return false;
	evacuations->version = version;
	return true;
}

char *evacuations_format(const struct evacuations *evacuations)
{
	GString *text = g_string_new(NULL);

	for (guint i = 0; i < evacuations->zones->len; i++)
		g_string_append_printf(text, "%s%s", i > 0 ? " " : "",
				       (char *)evacuations->zones->pdata[i]);
	return g_string_free(text, FALSE);
}
