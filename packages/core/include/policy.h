/*
 * Switches of the mechanisms that decide how jobs wait, are refused and are placed, for experiments
 * that measure what each of them is worth. All are on in service, but for shed_by_share, which the
 * settings ask for. No switch affects whether a task may run twice or whether a refusal is true.
 */
#ifndef GG_POLICY_H
#define GG_POLICY_H

#include <stdbool.h>

/* X(member); the name in the settings is that of the member */
#define POLICY_LIST(X)                                                                             \
	/* refuse new jobs while the oldest job of their queue waits too long */                   \
	X(refuse_new)                                                                              \
	/* refuse jobs whose expected wait exceeds their slack */                                  \
	X(refuse_by_wait)                                                                          \
	/* divide scarce room among the queues and refuse what exceeds the share of one */         \
	X(shed_by_share)                                                                           \
	/* order jobs of a higher priority earlier */                                              \
	X(priority_order)                                                                          \
	/* order started jobs earlier */                                                           \
	X(progress_lead)                                                                           \
	/* order jobs that can only be late last */                                                \
	X(late_last)                                                                               \
	/* order jobs that need much room earlier */                                               \
	X(room_lead)                                                                               \
	/* let runs queue at full servers */                                                       \
	X(wait_at_servers)                                                                         \
	/* prefer slow servers when room is scarce */                                              \
	X(prefer_slow)                                                                             \
	/* leave half of the slots of a server to other entries */                                 \
	X(leave_room)                                                                              \
	/* draw servers at random by weight instead of taking the best */                          \
	X(random_choice)                                                                           \
	/* prefer servers in the entry's own zone, if the settings ask for it */                   \
	X(local_zone)                                                                              \
	/* let tasks wait some time for room in the entry's own zone, if that is preferred */      \
	X(wait_for_zone)                                                                           \
	/* restart slow runs elsewhere */                                                          \
	X(move_runs)                                                                               \
	/* learn run times from measured ones */                                                   \
	X(predict_run_times)                                                                       \
	/* give queues whose tasks crash servers servers of their own */                           \
	X(separate_suspects)

struct policy {
#define POLICY_MEMBER(member) bool member;
	POLICY_LIST(POLICY_MEMBER)
#undef POLICY_MEMBER
};

/* Switches all mechanisms on but shed_by_share. */
void policy_init(struct policy *policy);

/* Switches the mechanisms NAMES off, a list that ends with NULL. Stops at the first name that no
 * mechanism has and returns it; returns NULL when all are known. */
const char *policy_switch_off(struct policy *policy, char *const *names);

#endif
