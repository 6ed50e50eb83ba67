#include "policy.h"

#include <glib.h>
#include <string.h>

static const struct {
	const char *name;
	size_t offset;
} mechanisms[] = {
#define POLICY_ROW(member) {#member, offsetof(struct policy, member)},
	POLICY_LIST(POLICY_ROW)
#undef POLICY_ROW
};

static bool *switch_at(struct policy *policy, size_t index)
{
	return (bool *)((char *)policy + mechanisms[index].offset);
}

void policy_init(struct policy *policy)
{
	for (size_t i = 0; i < G_N_ELEMENTS(mechanisms); i++)
		*switch_at(policy, i) = true;
	policy->shed_by_share = false;
}

static bool switch_off(struct policy *policy, const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(mechanisms); i++) {
		if (strcmp(mechanisms[i].name, name) == 0) {
			*switch_at(policy, i) = false;
			return true;
		}
	}
	return false;
}

const char *policy_switch_off(struct policy *policy, char *const *names)
{
	while (*names && switch_off(policy, *names))
		names++;
	return *names;
}
