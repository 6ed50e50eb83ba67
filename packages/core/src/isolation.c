#include "isolation.h"

enum {
	US_PER_MS = 1000
};

void isolation_begin(struct isolation *isolation, int64_t now_us)
{
	isolation->isolated = true;
	isolation->since_us = now_us;
}

enum isolation_change isolation_update(struct isolation *isolation, int64_t last_input_us,
				       int64_t last_silent_us, int64_t now_us)
{
	bool quiet = isolation->quiet;

	if ((isolation->isolated || quiet) && last_input_us >= isolation->since_us) {
		isolation->isolated = isolation->quiet = false;
		return quiet ? QUIET_ENDS : ISOLATION_ENDS;
	}
	if (isolation->isolated || now_us - last_input_us <= isolation->timeout_us)
		return ISOLATION_UNCHANGED;
	if (last_silent_us > last_input_us) {
		isolation->quiet = false;
		isolation_begin(isolation, now_us);
		return ISOLATION_BEGINS;
	}
	if (quiet)
		return ISOLATION_UNCHANGED;
	isolation->quiet = true;
	isolation->since_us = now_us;
	return QUIET_BEGINS;
}

void isolation_count(struct isolation_census *census, bool is_entry, int64_t heard_us,
		     int64_t silence_us, int64_t now_us)
{
	bool silent = now_us - heard_us > silence_us;

	if (now_us - heard_us > PARTITION_FORGET_MS * US_PER_MS)
		return;
	if (is_entry) {
		census->entries++;
		census->silent_entries += silent;
	} else {
		census->agents++;
		census->silent_agents += silent;
	}
}

bool isolation_most_silent(const struct isolation_census *census)
{
	uint32_t silent = census->silent_entries + census->silent_agents;

	if (silent < 2)
		return false;
	return silent * 2 >= census->entries + census->agents ||
	       (census->entries > 0 && census->silent_entries == census->entries);
}

/* Returns whether the platform has not answered for so long that it is unreachable. Its first
 * answer is due sooner, because the silence began before the first probe. */
static bool is_platform_silent(const struct partition *partition, int64_t now_us)
{
	if (partition->answered_us < partition->suspected_us)
		return now_us - partition->suspected_us >= partition->first_limit_us;
	return now_us - partition->answered_us >= partition->timeout_us;
}

void partition_start(struct partition *partition, int64_t now_us)
{
	partition->suspected_us = partition->since_us = now_us;
	partition->cut_off = false;
	partition->unconfirmed = true;
}

enum partition_change partition_update(struct partition *partition, bool suspected, bool lost,
				       int64_t now_us)
{
	bool answered = partition->answered_us > 0 && partition->answered_us >= partition->since_us;

	if (!suspected && !lost && !partition->unconfirmed)
		partition->suspected_us = 0;
	else if (partition->suspected_us == 0)
		partition->suspected_us = now_us;
	if (partition->cut_off) {
		if (lost && !answered)
			return PARTITION_UNCHANGED;
		partition->cut_off = false;
		return PARTITION_ENDS;
	}
	if (!lost || !is_platform_silent(partition, now_us)) {
		if (!partition->unconfirmed || !answered)
			return PARTITION_UNCHANGED;
		partition->unconfirmed = false;
		return PARTITION_CONFIRMED;
	}
	partition->cut_off = true;
	partition->unconfirmed = false;
	partition->since_us = now_us;
	return PARTITION_BEGINS;
}

bool partition_probe_due(struct partition *partition, int64_t now_us)
{
	if (partition->suspected_us == 0 ||
	    now_us - partition->probed_us < PARTITION_PROBE_INTERVAL_MS * US_PER_MS)
		return false;
	partition->probed_us = now_us;
	return true;
}

void partition_answered(struct partition *partition, int64_t sent_us)
{
	if (sent_us > partition->answered_us)
		partition->answered_us = sent_us;
}
