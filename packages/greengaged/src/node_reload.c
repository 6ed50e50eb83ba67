#include "node_reload.h"

#include <string.h>
#include <sys/stat.h>

#include "event.h"

enum {
	US_PER_MS = 1000,
	NS_PER_S = 1000000000,
	CHECK_INTERVAL_MS = 2000
};

static int64_t file_modified_ns(const char *file)
{
	struct stat status;

	if (stat(file, &status) != 0)
		return 0;
	return (int64_t)status.st_mtim.tv_sec * NS_PER_S + status.st_mtim.tv_nsec;
}

void node_reload_now(struct node_reload *reload)
{
	struct node_settings settings;
	struct error err;
	guint count_before = reload->members->addresses->len;

	reload->last_modified_ns = file_modified_ns(reload->file);
	if (node_settings_load(reload->file, &settings, &err) != STATUS_OK) {
		event_log(EVENT_SETTINGS_RELOADED, EV_S("result", "invalid"),
			  EV_S("reason", err.message));
		return;
	}
	node_members_add_seeds(reload->members, settings.seeds, settings.peer_port);
	event_log(EVENT_SETTINGS_RELOADED, EV_S("result", "valid"),
		  EV_I("new_seeds", reload->members->addresses->len - count_before));
	node_settings_free(&settings);
}

static void reload_if_modified(void *context, int64_t now_us)
{
	struct node_reload *reload = context;
	int64_t modified_ns = file_modified_ns(reload->file);

	/* The file may be missing for a moment while it is being replaced. */
	if (modified_ns != 0 && modified_ns != reload->last_modified_ns)
		node_reload_now(reload);
}

void node_reload_start(struct node_reload *reload, struct net_loop *loop, const char *file,
		       struct node_members *members)
{
	*reload = (struct node_reload){
		.file = file, .members = members, .last_modified_ns = file_modified_ns(file)};
	timer_subscribe(&loop->timers, loop->now_us + CHECK_INTERVAL_MS * US_PER_MS,
			CHECK_INTERVAL_MS * US_PER_MS, reload_if_modified, reload);
}
