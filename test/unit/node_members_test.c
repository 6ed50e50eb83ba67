/* Tests the list of the entries' addresses, which any writer to the store adds to. */
#include <string.h>

#include "node_members.h"

enum {
	PEER_PORT = 7000,
	OFFERED = 100000,
	/* Twice as many as any deployment has entries, and few enough to dial them all. */
	MIN_LIMIT = 200,
	MAX_LIMIT = 2000
};

struct fixture {
	struct net_loop loop;
	struct node_members members;
	guint added;
};

static void on_added(void *context, const char *address)
{
	struct fixture *fixture = context;

	fixture->added++;
}

static void set_up(struct fixture *fixture, char **seeds)
{
	*fixture = (struct fixture){0};
	net_loop_init(&fixture->loop);
	node_members_init(&fixture->members, &(struct node_members_options){
						     .loop = &fixture->loop,
						     .seeds = seeds,
						     .peer_port = PEER_PORT,
						     .own_address = "10.0.0.1:7000",
						     .name = "entry1",
						     .address_added = on_added,
						     .context = fixture,
					     });
}

/* A seed that names no IPv4 host must not be dialled, and must not keep the others out. */
static void test_seeds(void)
{
	char *seeds[] = {"::1", "", ":7", "host", "10.0.0.2:9", "10.0.0.300", "10.0.0.3", NULL};
	struct fixture fixture;

	set_up(&fixture, seeds);
	g_assert_cmpuint(fixture.added, ==, 2);
	g_assert_cmpstr(fixture.members.addresses->pdata[0], ==, "10.0.0.2:7000");
	g_assert_cmpstr(fixture.members.addresses->pdata[1], ==, "10.0.0.3:7000");
	net_loop_free(&fixture.loop);
}

static void add_many(struct fixture *fixture, int network, enum node_member_source source)
{
	for (int i = 0; i < OFFERED; i++) {
		char *address = g_strdup_printf("%d.%d.%d.%d:7000", network, i >> 16 & 255,
						i >> 8 & 255, i & 255);

		node_members_add(&fixture->members, address, source);
		g_free(address);
	}
}

/* One writer must not decide how many addresses this process keeps and dials, nor keep out an entry
 * that another entry tells of. */
static void test_limits(void)
{
	struct fixture fixture;
	guint stored;

	set_up(&fixture, NULL);
	add_many(&fixture, 11, MEMBER_SOURCE_STORE);
	stored = fixture.added;
	g_assert_cmpuint(stored, >=, MIN_LIMIT);
	g_assert_cmpuint(stored, <, MAX_LIMIT);
	node_members_add(&fixture.members, "10.0.0.2:7000", MEMBER_SOURCE_ENTRY);
	g_assert_cmpuint(fixture.added, ==, stored + 1);
	add_many(&fixture, 12, MEMBER_SOURCE_ENTRY);
	g_assert_cmpuint(fixture.added, <=, MAX_LIMIT);
	g_assert_cmpuint(fixture.members.addresses->len, ==, fixture.added);
	net_loop_free(&fixture.loop);
}

/* The own address and known ones must not be added again. */
static void test_known(void)
{
	struct fixture fixture;

	set_up(&fixture, NULL);
	node_members_add(&fixture.members, "10.0.0.1:7000", MEMBER_SOURCE_STORE);
	node_members_add(&fixture.members, "10.0.0.2:7000", MEMBER_SOURCE_STORE);
	node_members_add(&fixture.members, "10.0.0.2:7000", MEMBER_SOURCE_ENTRY);
	node_members_add(&fixture.members, "10.0.0.2:07000", MEMBER_SOURCE_ENTRY);
	g_assert_cmpuint(fixture.added, ==, 1);
	net_loop_free(&fixture.loop);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	/* Ignored addresses are logged as warnings, which are fatal in GLib tests by default. */
	g_log_set_always_fatal(G_LOG_FATAL_MASK);
	g_test_add_func("/node_members/seeds", test_seeds);
	g_test_add_func("/node_members/limits", test_limits);
	g_test_add_func("/node_members/known", test_known);
	return g_test_run();
}
