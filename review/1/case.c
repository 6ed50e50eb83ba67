/* The link between an agent and its entry is cut for less than a second, and of the agent's first
 * channel after it a packet is lost. The entry then takes runs that have started for runs that
 * never did, and ignores the ends of later ones. */
#include <signal.h>
#include <string.h>

#include "../standin/lab.h"

enum {
	ENTRY_LIMIT_MS = 10000,
	SERVER_CPU = 16000,
	TASK_CPU = 2000,
	EARLIER_ROUNDS = 3,
	EARLIER_JOBS = 8, /* of a round, one after the other */
	EARLIER_INTERVAL_MS = 20,
	TASK_MS = 1000, /* also the declared run time */
	DEADLINE_MS = 1700,
	BEGIN_MS = 100, /* from the submission to the cut */
	CUT_MS = 800,	/* single machines are cut off for up to 5.5 s */
	RETRANSMISSION_MS = 300,
	LATER_JOBS = 5
};

static void send_job(struct lab_request *request, unsigned number)
{
	char *body = lab_job(1, TASK_CPU, TASK_MS, TASK_MS);
	char path[LAB_TEXT_BYTES];

	g_snprintf(request->id, sizeof(request->id), "%016x", number);
	g_snprintf(path, sizeof(path), "/q/%s", request->id);
	lab_send(request, "POST", path, body, DEADLINE_MS);
	g_free(body);
}

/* Sends a round of jobs and waits for their answers. Returns how many were served. */
static unsigned play_round(struct lab *lab, struct http_client *client, unsigned number)
{
	struct lab_request requests[EARLIER_JOBS];
	unsigned served = 0;

	for (unsigned i = 0; i < EARLIER_JOBS; i++) {
		requests[i] =
			(struct lab_request){.lab = lab, .name = "earlier job", .client = client};
		send_job(&requests[i], number + i);
		lab_run_for(lab, EARLIER_INTERVAL_MS);
	}
	lab_run_for(lab, DEADLINE_MS + 100);
	for (unsigned i = 0; i < EARLIER_JOBS; i++)
		served += requests[i].code == 200;
	return served;
}

int main(void)
{
	struct lab *lab = lab_new();
	int client_port = lab_free_port();
	int readiness_port = lab_free_port();
	char *clients = g_strdup_printf("127.0.0.2:%d", client_port);
	char *readiness = g_strdup_printf("127.0.0.2:%d", readiness_port);
	char *listen = g_strdup_printf("127.0.1.2:%d", lab->peer_port);
	char *target = g_strdup_printf("127.0.0.2:%d", lab->peer_port);
	struct lab_request request = {.lab = lab, .name = "job"};
	struct lab_request later = {.lab = lab, .name = "later job"};
	struct lab_link *link;
	unsigned unanswered = 0;
	bool refused;

	lab_publish(lab, "[{\"name\":\"q\",\"host\":\"127.0.0.2\",\"pathPrefix\":\"/q/\","
			 "\"service\":\"svc\",\"priority\":0,\"maxAttempts\":2,"
			 "\"stretchFactor\":1.6,\"targetRuntimeMs\":60,\"timeoutMs\":3000}]");
	link = lab_add_link(lab, listen, target);
	lab_add_entry(lab, "entry", "127.0.0.2", "127.0.1.2", client_port, readiness_port);
	lab_add_agent(lab, "agent", lab_add_server(lab, "svc", SERVER_CPU), "127.0.1.2");
	if (!lab_wait_ready(lab, readiness, ENTRY_LIMIT_MS))
		lab_abort(lab, "the entry did not become ready");
	lab_run_for(lab, 500);
	request.client = http_client_new(&lab->loop, &(struct http_client_options){
							     .address = clients,
							     .max_connections = 64,
							     .idle_limit_ms = 60000,
							     .response_max_bytes = 65536,
						     });
	later.client = request.client;
	for (unsigned i = 0; i < EARLIER_ROUNDS; i++) {
		if (play_round(lab, request.client, 0xa0000 + 0x100 * i) < EARLIER_JOBS)
			lab_abort(lab, "a job before the disruption was not served");
	}
	send_job(&request, 0xb0000);
	lab_run_for(lab, BEGIN_MS);
	if (lab->trouble)
		lab_cut(link, true, 0);
	lab_run_for(lab, CUT_MS);
	if (lab->trouble)
		lab_cut(link, false, RETRANSMISSION_MS);
	lab_run_for(lab, DEADLINE_MS - BEGIN_MS - CUT_MS + 200);
	refused = (request.code == 429 || request.code == 503) &&
		  g_hash_table_contains(lab->started_jobs, request.id);
	lab_run_for(lab, 2000);
	for (unsigned i = 0; i < LATER_JOBS; i++) {
		send_job(&later, 0xc0000 + i);
		lab_run_for(lab, DEADLINE_MS + 100);
		unanswered += later.code != 200;
	}
	lab_note(lab, "jobs after the disruption that were not served: %u of %d", unanswered,
		 LATER_JOBS);
	lab_finish(lab, refused, "REFUSED: no task of a job that was only rejected starts");
}
