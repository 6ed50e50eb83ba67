#include "entry_rules.h"

#include <string.h>

static const double default_ratio_target = 2.0;
static const double default_objective = 0.99;
static const double default_waste_target = 0.1;

struct rules {
	GArray *classes;
	GArray *teams;
	GPtrArray *lists; /* string arrays that the classes point to */
};

static uint32_t get_uint32(const json_t *object, const char *name)
{
	return (uint32_t)json_integer_value(json_object_get(object, name));
}

static const char *const *new_string_list(struct rules *rules, const json_t *array)
{
	GPtrArray *list;
	size_t index;
	json_t *item;

	if (!array)
		return NULL;
	list = g_ptr_array_new();
	json_array_foreach (array, index, item)
		g_ptr_array_add(list, g_strdup(json_string_value(item)));
	g_ptr_array_add(list, NULL);
	g_ptr_array_add(rules->lists, list->pdata);
	return (const char *const *)g_ptr_array_free(list, FALSE);
}

static const char *const *new_label_list(struct rules *rules, const json_t *labels)
{
	GPtrArray *list;
	const char *key;
	json_t *value;

	if (!labels)
		return NULL;
	list = g_ptr_array_new();
	json_object_foreach ((json_t *)labels, key, value)
		g_ptr_array_add(list, g_strconcat(key, "=", json_string_value(value), NULL));
	g_ptr_array_add(list, NULL);
	g_ptr_array_add(rules->lists, list->pdata);
	return (const char *const *)g_ptr_array_free(list, FALSE);
}

static void add_classes(struct rules *rules, const json_t *classes)
{
	const char *name;
	json_t *value;

	json_object_foreach ((json_t *)classes, name, value) {
		struct sched_class_rules rule = {
			.zones = new_string_list(rules, json_object_get(value, "zones")),
			.labels = new_label_list(rules, json_object_get(value, "labels")),
			.run_us = (int64_t)get_uint32(value, "run_ms") * US_PER_MS,
			.max_running = get_uint32(value, "max_running"),
		};

		g_strlcpy(rule.name, name, sizeof(rule.name));
		g_array_append_val(rules->classes, rule);
	}
}

static void add_teams(struct rules *rules, const json_t *teams)
{
	const char *name;
	json_t *value;

	json_object_foreach ((json_t *)teams, name, value) {
		const json_t *weight = json_object_get(value, "weight");
		struct sched_team_rules rule = {
			.weight = weight ? json_number_value(weight) : 1,
			.max_running = get_uint32(value, "max_running"),
			.max_queued = get_uint32(value, "max_queued"),
		};

		g_strlcpy(rule.name, name, sizeof(rule.name));
		g_array_append_val(rules->teams, rule);
	}
}

static double number_or(const json_t *object, const char *name, double default_value)
{
	const json_t *value = json_object_get(object, name);

	return value ? json_number_value(value) : default_value;
}

struct burn_objectives entry_rules_objectives(const json_t *document)
{
	const json_t *slo = json_object_get(document, "slo");

	return (struct burn_objectives){
		.ratio_target = number_or(slo, "ratio_target", default_ratio_target),
		.objective = number_or(slo, "objective", default_objective),
		.waste_target = number_or(slo, "waste_target", default_waste_target),
	};
}

static void free_list(void *data)
{
	g_strfreev(data);
}

void entry_rules_apply(struct board *board, const json_t *document)
{
	struct burn_objectives objectives = entry_rules_objectives(document);
	struct rules rules = {
		.classes = g_array_new(FALSE, FALSE, sizeof(struct sched_class_rules)),
		.teams = g_array_new(FALSE, FALSE, sizeof(struct sched_team_rules)),
		.lists = g_ptr_array_new_with_free_func(free_list),
	};

	add_classes(&rules, json_object_get(document, "classes"));
	add_teams(&rules, json_object_get(document, "teams"));
	sched_set_rules(board->sched, (struct sched_class_rules *)rules.classes->data,
			rules.classes->len, (struct sched_team_rules *)rules.teams->data,
			rules.teams->len);
	burn_set_objectives(board->burn, &objectives);
	g_array_free(rules.classes, TRUE);
	g_array_free(rules.teams, TRUE);
	/* The scheduler may point to the previous lists until sched_set_rules is called, so they
	 * are freed only now. */
	if (board->rule_string_lists)
		g_ptr_array_free(board->rule_string_lists, TRUE);
	board->rule_string_lists = rules.lists;
}
