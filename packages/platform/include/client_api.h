/* What the platform's clients send and are answered, in the dispatcher's terms. */
#ifndef GG_CLIENT_API_H
#define GG_CLIENT_API_H

#include <glib.h>
#include <stdint.h>

#include "dispatch.h"
#include "http_server.h"
#include "status.h"

enum {
	CLIENT_JOB_ID_BYTES = 17 /* 16 hexadecimal digits and a terminating zero */
};

enum client_action {
	CLIENT_SUBMIT,
	CLIENT_STATE,
	CLIENT_CANCEL,
	CLIENT_PENDING, /* the number of waiting jobs of a queue */
};

/* A request addressed to a queue. */
struct client_request {
	enum client_action action;
	char id[CLIENT_JOB_ID_BYTES]; /* empty for CLIENT_PENDING */
	uint64_t job_number;	      /* the same id as a number */
	int64_t wait_ms;	      /* for which the client waits; 0 when it does not say */
};

/* A submitted job of one step. */
struct client_job {
	GBytes *spec;
	uint32_t tasks;
	struct resources need; /* of each task */
	int64_t estimate_ms;
};

/*
 * Reads method, headers and what follows PREFIX_BYTES of the path. STATUS_NOT_FOUND for a path that
 * names no job, STATUS_METHOD_NOT_ALLOWED.
 */
enum status client_request_parse(const struct http_request *request, size_t prefix_bytes,
				 struct client_request *parsed, struct error *err);

/*
 * Reads the body of a submission; client_job_clear frees it. STATUS_INVALID_JSON,
 * STATUS_INVALID_REQUEST for a field missing or of a wrong type; STATUS_SERVER_REFUSED for a job of
 * a kind that is not built, with a message that names the field.
 */
enum status client_job_parse(const char *body, size_t length, struct client_job *job,
			     struct error *err);

void client_job_clear(struct client_job *job);

/* Whether REQUEST is the balancer's probe of this host's readiness. */
bool client_is_readiness_probe(const struct http_request *request);

/* Answers a submission whose job is over. */
void client_answer_job_end(struct http_request *request, const struct job_end *end);

/* Answers a request that reached no job, with the code that the platform gives STATUS. */
void client_answer_error(struct http_request *request, const struct error *err);

void client_answer_pending(struct http_request *request, uint32_t pending);
void client_answer_state(struct http_request *request, bool started);

/* Answers a request for a job that ended a while ago. */
void client_answer_result(struct http_request *request, bool completed);

/* Returns the number of a job id of 16 hexadecimal digits. */
uint64_t client_job_number(const char *id);

/* Answers 200 without content, as to a cancelled job. */
void client_answer_empty(struct http_request *request);

/* Answers a job that is not known. */
void client_answer_gone(struct http_request *request);

/* Writes the platform's name of a task. The caller frees it. */
char *client_task_name(const char *job, uint32_t step, uint32_t index);

#endif
