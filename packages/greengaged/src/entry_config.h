/* Handles the configuration: patches from clients, records of the log stream, newer states from
 * peers and agents, and the rules in force. */
#ifndef GG_ENTRY_CONFIG_H
#define GG_ENTRY_CONFIG_H

#include "entry_board.h"

void entry_config_init(struct board *board);
void entry_config_free(struct board *board);

/* Handle PATCH /v1/config and GET /v1/config/history. Both finish REQUEST. A patch is accepted only
 * after its record was read back from the log; it can be refused earlier. */
void entry_config_handle_patch(struct board *board, struct request *request);
void entry_config_handle_history(struct board *board, struct request *request);

/* Applies the next record of the log stream, and finishes the pending patches whose result the
 * record shows. A snapshot record can finish several patches. */
void entry_config_apply_record(struct board *board, const struct log_record *record);

/* Tells the replica that records below offset FIRST have expired from the log. */
void entry_config_handle_truncation(struct board *board, uint64_t first);

/* Handles the result of the append REQUEST: the status of ERR is STATUS_OK if the append succeeded.
 * Returns false when REQUEST is not the append of a patch that is still pending. */
bool entry_config_handle_append_result(struct board *board, uint64_t request,
				       const struct error *err);

/* Adopts STATE, received from a peer or an agent, if it is valid and its version is higher than the
 * version in force. */
void entry_config_adopt(struct board *board, const Gg__ConfigState *state);

/* Fills STATE with the version and document in force. BOARD keeps the ownership of the
 * text of the document. */
void entry_config_fill_state(struct board *board, Gg__ConfigState *state);

/* Sends the version and document in force to AGENT. */
void entry_config_send_to_agent(struct board *board, struct agent *agent);

/* Asks AGENT to send the configuration that it holds. Called when AGENT reports a higher version
 * than this entry's. */
void entry_config_request_from_agent(struct board *board, struct agent *agent);

/* Appends a snapshot to the log stream when the newest one is older than 80 to 99 percent of
 * log.snapshot_interval_s. Called periodically. */
void entry_config_tick(struct board *board);

/* Refuses all pending patches. Called for a forced shutdown. */
void entry_config_fail_all(struct board *board);

/* Publishes the readiness and the configuration to the HTTP threads. Must be called after a change
 * of either. */
void entry_config_publish(struct board *board);

#endif
