"""Decides what the messages to the proxies carry: withdrawals, tables, readmissions, levels and a mark.

When a message may go and how long it may be is in `channel_schedule.py`, what is due in `pending_updates.py`, and which
lines of tables it carries in `table_updates.py`. No I/O.
"""

from .channel_schedule import UNCONFIRMED_FILL, Urgency
from .interface import ALL_TABLES
from .pending_updates import MessageBudget, MessageDraft, PendingUpdates
from .table_updates import RETRY_POLICY, TableUpdates

MARK_COUNT = 65536  # marks are numbered from 0 to MARK_COUNT - 1


class ProxyMessages(TableUpdates):
    """The part of a manager that writes messages to its proxies; base class of `policy.Manager`, which has the state.

    Reading order: when the next message goes, what is due, the message, how long it may be.
    """

    def waiting_message_may_go(self):
        """Whether a message that waited can go now.

        That is so if the channel is about to be free, has room again for deferred lines, or a repeat is due.
        """
        if self.send_at is not None:
            return self.now >= self.send_at
        if self.deferred_lines:
            state = self.channel_state()
            capped = self.schedule.is_capped(self.now, state, Urgency.REPEAT)
            return not capped and self.schedule.lines_worth_sending(state, self.deferred_lines) > 0
        return bool(self.withdrawals.missed_since) and self.now >= self.withdrawals.repeat_due_at(
            self.repeat_drain_time_us()
        )

    def repeat_drain_time_us(self, lines_before=0):
        """How long the channel takes for its queue and for a repeat of all withdrawals that may have been missed.

        `lines_before`: lines at each proxy of a message that goes before it, its head included.
        """
        return self.schedule.drain_time_us(self.channel_state(), lines_before + len(self.withdrawals.missed_since))

    def order_wakeup(self):
        """Order a wake-up for when the waiting message may go or the repeat of withdrawals is due."""
        due_at = self.send_at
        if due_at is None:
            if not self.withdrawals.missed_since or self.deferred_lines:
                return
            due_at = int(self.withdrawals.repeat_due_at(self.repeat_drain_time_us()))
        if not self.now < self.wakeup_at <= due_at:
            self.wakeup_at = max(due_at, self.now + 1)
            self.orders.schedule_wake(self.wakeup_at - self.now, 0)

    def channel_state(self):
        """What may still be in the channel, and what fits, as a ChannelState."""
        return self.schedule.state(
            self.now,
            len(self.proxies),
            len(self.withdrawals.proxy_states),
            self.withdrawals.more_joins_expected(self.now),
            self.withdrawals.batch_us,
            stalled=self.stalled_at == self.now,
        )

    def send(self, capacity):
        """Send what has changed, as far as the channel can carry it: withdrawals first, then the largest changes.

        Withdrawing a lost server from all tables takes one line per proxy. Rewriting the tables instead would outlast
        the drain grace where proxies are many. Its load goes to the other lines of its slices.
        """
        self.send_at, pending, state = None, self.pending_updates(capacity), self.channel_state()
        self.withdrawals.retain_missed(pending.lost)
        idle = bool(pending.table_changes) and state.queued < 0.1 * state.shortest_worthwhile
        # Without the repeats in it, a message for slices that need a server goes before them.
        drain_time_us = self.repeat_drain_time_us(pending.slices_unserved and pending.slices_unserved + state.head)
        message_due = idle or pending.slices_unserved > 0 or bool(pending.readmit_now)
        pending.withdraw_now, pending.withdraw_again = self.withdrawals.due_withdrawals(
            self.now, pending.lost, self.repeat_drain_time_us(), state.head, message_due
        )
        pending.levels_changed = self.levels_message_due
        due, urgency = pending.lines_due(state.head), pending.urgency
        levels_due = self.levels_message_due or self.newcomers_due(state)
        self.deferred_lines = due
        if not (pending.has_updates or levels_due):
            return
        # A repeat that is due soon takes everything ordinary with it; the heads of separate messages would fill the
        # channel.
        if self.withdrawals.missed_since and urgency is Urgency.ORDINARY:
            return
        if self.waits_for_channel(state, urgency) or self.schedule.is_capped(self.now, state, urgency):
            return
        if due and not self.schedule.lines_worth_sending(state, due):
            return  # a message without the lines that are due would use up the room that they wait for
        # Room comes back with acknowledgements, which take as long as a message does.
        repeats_overdue = self.now >= self.withdrawals.repeat_deadline(drain_time_us + self.setup.max_transit_us)
        to_withdraw = pending.withdrawals_that_fit(state.room, repeats_overdue)
        self.deferred_lines = len(pending.to_withdraw) - len(to_withdraw)
        self.write_message(pending, state, to_withdraw, levels_due)

    def waits_for_channel(self, state, urgency):
        """Whether a message has to wait until the channel is about to be free; sets `send_at` if so."""
        allowed_at = self.schedule.earliest_send_at(self.now, state, urgency)
        # While the channel accepts nothing, withdrawals are handed over at once: they are merged with queued orders.
        if self.now >= allowed_at or urgency is Urgency.WITHDRAWAL and self.stalled_at == self.now:
            return False
        self.send_at = allowed_at
        return True

    def newcomers_due(self, state):
        """Whether a message is due only because proxies that have joined may lack the levels.

        Any message carries the levels. So none is due while more proxies are expected or a repeat will go to them
        anyway. Where one message head for each proxy exceeds what ordinary messages may queue, they wait for the drain
        grace and an empty channel.
        """
        since = self.newcomers_since
        if since is None or self.withdrawals.missed_since or self.now < self.withdrawals.arrivals_settled_at(since):
            return False
        alone = state.queued + state.head * state.receivers
        return (
            alone <= self.schedule.max_ordinary_lines(state)
            or state.queued <= 0
            and self.now >= since + self.setup.drain_grace_us
        )

    def pending_updates(self, capacity):
        """The updates that are due, apart from withdrawals. `capacity`: {server: capacity} of the usable servers."""
        targets, tables = (
            {slice_index: self.target_table(slice_index) for slice_index in sorted(self.owned_slices)},
            self.tables,
        )
        # A withdrawn server that no table names is readmitted with its first line; otherwise the first one readmitted
        # would get all slices.
        named = {server for slice_index in self.owned_slices for server in tables[slice_index]}
        usable = capacity.keys() - (self.withdrawals.withdrawn & named)
        self.withdrawals.add_unknown(self.now, usable)
        # Without a table there is no proxy to reach.
        due_again = self.withdrawals.due_readmissions(self.now, usable) if self.owned_slices else set()
        # A cold server that an earlier process may have withdrawn is readmitted once its load is limited, and may be of
        # no use until then.
        unknown = {server for server in due_again & named - self.withdrawals.readmitted if self.warmth(server) < 1.0}
        usable = usable - unknown or usable
        warm = {server for server in usable if self.warmth(server) == 1.0} or usable
        # A server that is named by tables but withdrawn at some proxy is missing where its slices are, so it does not
        # wait for ordinary messages.
        readmit_now = sorted(capacity.keys() & (self.withdrawals.withdrawn | due_again & named))
        lost = named - capacity.keys()
        pending = PendingUpdates(targets, usable, warm, named, lost, readmit_now, sorted(due_again - named))
        if self.handovers is not None:
            former_owners = self.former_owners(lost)
            states = [self.withdrawals.proxy_states[proxy] for proxy in sorted(self.proxies)]
            self.handovers.update(self.now, former_owners, states, self.withdrawals.messages_by_worker)
            pending.slice_levels = self.handovers.due_levels(sorted(self.owned_slices), former_owners)
        pending.table_changes = self.collect_table_changes(pending, capacity)
        return pending

    def write_message(self, pending, state, to_withdraw, levels_due):
        """Write one message to all proxies: withdrawals, tables, readmissions, levels and a mark."""
        budget = self.message_budget(pending, state, to_withdraw)
        # Readmissions that only some proxies may have missed count as ordinary, as many proxies join at a time.
        readmitted_later = pending.readmit_later[: int(budget.ordinary_room(len(to_withdraw)))]
        for worker in to_withdraw:
            self.orders.set_withheld(worker, True)
        if self.handovers is not None:
            self.handovers.repeat_levels(self.former_owners(set(to_withdraw)))
        draft = MessageDraft(len(to_withdraw) + len(readmitted_later))
        self.write_tables(pending, [change for change in pending.table_changes if not change.can_wait], budget, draft)
        full_before_readmissions = draft.full
        self.write_readmissions(pending, budget, draft)
        ordinary = [change for change in pending.table_changes if change.can_wait]
        if not self.withdrawals.repeats_expected(self.now):
            self.write_tables(pending, [change for change in ordinary if not change.half_left], budget, draft)
        if not full_before_readmissions and self.removals_come_first(pending, state):
            room = self.removal_room(budget, draft)
            self.write_removals(pending, budget, draft, int(min(state.head, room) / 2))
        self.write_tables(pending, ordinary, budget, draft)
        if not full_before_readmissions:
            self.write_removals(pending, budget, draft, self.removal_room(budget, draft))
        self.write_slice_levels(pending, budget, draft)
        lines, readmitted = draft.lines, readmitted_later + sorted(draft.readmitted)
        for worker in readmitted:
            self.orders.set_withheld(worker, False)
        if lines or levels_due:
            self.write_levels()
            self.withdrawals.record_orders(self.now, to_withdraw, readmitted)
            # The mark goes to every proxy. A proxy that has joined may hold levels of an earlier process of this
            # manager, and any message carries the present ones. A line that concerns no proxy would not be
            # acknowledged, and would count as in the channel for long.
            self.last_urgency = pending.urgency
            self.message_counts[pending.urgency] += 1
            mark = self.withdrawals.message_count % MARK_COUNT
            self.orders.send_mark(mark, True)
            self.schedule.record_message(
                self.now, state, mark, state.head + lines, max(1, len(self.proxies)), draft.has_repairs
            )

    def write_levels(self):
        """Write the levels that no message has carried yet."""
        for class_index in sorted(self.unsent_levels):
            self.orders.set_level(ALL_TABLES, 1 << class_index, self.levels[class_index], RETRY_POLICY)
        self.unsent_levels, self.levels_message_due, self.newcomers_since = set(), False, None

    def message_budget(self, pending, state, to_withdraw):
        """How long the next message may be, which carries these withdrawals, as a MessageBudget."""
        ordinary, later_limit = self.schedule.max_ordinary_lines(state), state.limit
        # Room for withdrawals that are to be repeated is kept free until they are due, but not from slices that need a
        # server. And while proxies join and leave all the time, lost servers still have to be removed from the tables.
        if later_count := len(self.withdrawals.missed_since.keys() - set(to_withdraw)):
            reserved = (state.head + later_count) * state.receivers
            alone = state.shortest_worthwhile if state.queued < 0.1 * state.shortest_worthwhile else 0.0
            later_limit -= reserved
            ordinary = max(ordinary / 2, ordinary - reserved, min(alone, UNCONFIRMED_FILL * state.limit))
        # A message that is sent for a repeat anyway may carry up to as many lines of tables as it has itself, its head
        # included. On a channel kept busy by repeats the tables would otherwise wait for as long as proxies join and
        # leave.
        with_repeat = 2 * len(to_withdraw) + state.head if pending.withdraw_again and not pending.withdraw_now else 0
        return MessageBudget(
            state,
            ordinary,
            later_limit,
            self.max_lines_in_time(state, to_withdraw),
            self.max_repair_lines_in_time(state, to_withdraw),
            with_repeat,
        )

    def max_lines_in_time(self, state, to_withdraw):
        """Lines in total that may be queued so that withdrawals are in time: later ones, and those that were missed."""
        in_time, missed = self.schedule.max_prompt_lines(state), self.withdrawals.missed_since.keys()
        if missed:
            leaves_in_us = max(0, self.withdrawals.repeat_deadline(0) - self.now)
            repeated_behind = len(missed - set(to_withdraw))
            lines_behind = (state.head + repeated_behind) * state.receivers if repeated_behind else 0.0
            in_time = min(in_time, self.schedule.sent_messages.pace_lines * leaves_in_us / 1e6 - lines_behind)
            in_time = max(in_time, state.queued + (state.head + len(to_withdraw)) * state.receivers)
        return in_time

    def max_repair_lines_in_time(self, state, to_withdraw):
        """Lines in total that may be queued where a message carries lines that slices need at once or that end repeats.

        Without them the next repeats would be as long. So while repeats persist, a message may always have as many of
        them as its head has lines, and more if its own withdrawals are in time.
        """
        in_time, since = self.schedule.max_repair_lines(state), self.withdrawals.oldest_obligation(to_withdraw)
        if since is not None:
            leaves_in_us = since + self.setup.drain_grace_us - self.schedule.expected_transit_us - self.now
            in_time = min(in_time, self.schedule.sent_messages.pace_lines * max(0, leaves_in_us) / 1e6)
            if repeated_behind := len(self.withdrawals.missed_since.keys() - set(to_withdraw)):
                in_time -= (state.head + repeated_behind) * state.receivers
        least = 2 * state.head if self.withdrawals.repeats_persist(self.now) else state.head
        return max(in_time, state.queued + (least + len(to_withdraw)) * state.receivers)
