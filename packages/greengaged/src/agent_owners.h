/* The entry processes that an agent knows, and what it does with their orders. */
#ifndef GG_AGENT_OWNERS_H
#define GG_AGENT_OWNERS_H

#include "agent_owner.h"
#include "evacuation.h"

struct owners {
	struct backend *backend;
	int64_t silence_timeout_us;
	/* A run that goes on for this long after the silence timeout of its owner is ended by its
	 * lease. */
	int64_t stop_wait_us;
	const char *zone;		/* of this process */
	struct evacuations evacuations; /* as this process knows them */
	GPtrArray *list;		/* struct owner * */
	uint32_t last_number;
	/* OWNER, which is disconnected, is about to be freed. */
	void (*removed)(void *context, struct owner *owner);
	void *context;
};

/* Initializes the list and the evacuations. The caller sets the backend, the timeouts, the zone and
 * the callback. */
void owners_init(struct owners *owners);

/* Returns the owner with NUMBER, or NULL. */
struct owner *owners_find(const struct owners *owners, uint32_t number);

/* Returns the owner with INCARNATION, which is added if it is not known. */
struct owner *owners_find_or_add(struct owners *owners, const struct ident *incarnation);

/* Resumes the session with OWNER, which is disconnected, on a new link: sends the ends that are not
 * acknowledged and the inventory. */
void owners_connect(struct owners *owners, struct owner *owner, struct node_link *link);

/* Removes an owner that is disconnected, and stops its runs. */
void owners_remove(struct owners *owners, struct owner *owner);

/* Stops the runs of owners that have not confirmed their sessions for longer than the silence
 * timeout, so that these end before the clients may send the jobs again. The owners are kept for a
 * while, as they may return for the ends of their runs, and then removed. */
void owners_abandon_silent(struct owners *owners);

/* Marks the reports to all owners as due. */
void owners_mark_status_changed(struct owners *owners);

/* Closes the server for starts if its zone is evacuated, else opens it. To be called when the
 * evacuations or the server's identity may have changed. */
void owners_update_evacuated(struct owners *owners);

/* Applies the evacuations in ORDERS and carries out the starts and stops, which were sent and
 * arrived at TIMES. SOURCE names the owner in the log. Returns false, with no run started or
 * stopped, if the orders are not the next ones on the owner's link, belong to another session, or
 * are to start runs although they are older than the silence timeout. */
bool owners_handle_orders(struct owners *owners, struct owner *owner, const Ggd__Orders *orders,
			  const struct message_times *times, const char *source);

/* Answers the request of the owner with NUMBER, if it is connected, to read the configuration. For
 * VERSION, DOCUMENT and LENGTH see node_config_relay_callback. */
void owners_send_config(const struct owners *owners, uint32_t number, uint64_t version,
			const char *document, size_t length);

/* Sends the reports that are due to the connected owners: ends and runs behind their estimates at
 * once, mere changes of the free resources at the report interval. Returns the time at which the
 * next report is due, or INT64_MAX. */
int64_t owners_send_reports(struct owners *owners);

#endif
