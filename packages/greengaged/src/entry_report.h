/* Reports for operators: members, burn rates of the service level objectives, and gauges. */
#ifndef GG_ENTRY_REPORT_H
#define GG_ENTRY_REPORT_H

#include "entry_board.h"

/* Handle GET /v1/members (entries and agents) and GET /v1/report (burn rates). */
void entry_report_handle_members(struct board *board, struct request *request);
void entry_report_handle_burn(struct board *board, struct request *request);

/* Updates the gauges, and records in the burn report the wasted messages that were counted since
 * the last call. Called periodically. */
void entry_report_update_gauges(struct board *board);

#endif
