// Submission, voting and commit of change tickets.
#include "view/ticket.h"

#include <algorithm>
#include <iterator>

namespace heathercross::view {

namespace {

std::string toText(TicketNumber N) { return std::to_string(N.value()); }

TicketNumber versionOf(const AgreedState &State, const ObjectKey &Key) {
  const auto I = State.Objects_.find(Key);
  return I == State.Objects_.end() ? TicketNumber() : I->second.Value_.Ticket_;
}

void requireCurrent(const AgreedState &State, const ObjectKey &Key,
                    TicketNumber Expected) {
  const TicketNumber Actual = versionOf(State, Key);
  if (Actual != Expected)
    raise(VersionConflict(Key, Expected, Actual));
}

/// Throws VersionConflict for the first object that is not at the version that
/// the ticket is based on.
void requireBaseVersions(const AgreedState &State, const TicketText &Text) {
  for (const auto &[Key, Expected] : Text.BaseVersions_)
    requireCurrent(State, Key, Expected);
  for (const Change &C : Text.Changes_)
    if (!Text.BaseVersions_.contains(keyOf(C)))
      requireCurrent(State, keyOf(C), TicketNumber());
}

void requireAboveHead(const AgreedState &State, TicketNumber Number) {
  if (Number <= State.Head_)
    raise(TicketNumberPassed(Number, State.Head_));
}

void requireCommittable(const AgreedState &State, TicketNumber Number,
                        const TicketText &Text) {
  requireAboveHead(State, Number);
  requireBaseVersions(State, Text);
  validate(withChanges(viewOf(State), Text.Changes_), Text.Changes_);
}

/// The error that prevents committing a ticket to this state, or an empty
/// string.
std::string commitError(const AgreedState &State, const Ticket &T) {
  try {
    requireCommittable(State, T.Number_, T.Text_);
  } catch (const Error &E) {
    return std::string(E.code()) + ": " + E.what();
  }
  return {};
}

Transaction ticketWrite(const Ticket &T, RowVersion Expected,
                        const AttemptId &Attempt) {
  Transaction Write;
  Write.Attempt_ = Attempt;
  Write.Expect_ = {{rowKey(T.Number_), Expected}};
  Write.Put_ = {{rowKey(T.Number_), encode(T)}};
  return Write;
}

/// Extends the write of an accepted ticket to update the head and the objects.
void addHeadUpdate(Transaction &Write, const Ticket &T,
                   const AgreedState &State) {
  Write.Expect_.push_back({std::string(HeadKey), State.HeadVersion_});
  Write.Put_.push_back({std::string(HeadKey), encodeHead(T.Number_)});
  for (const Change &C : T.Text_.Changes_) {
    const ObjectKey Key = keyOf(C);
    const auto Stored = State.Objects_.find(Key);
    const RowVersion Version =
        Stored == State.Objects_.end() ? RowVersion() : Stored->second.Version_;
    Write.Expect_.push_back({rowKey(Key), Version});
    Write.Put_.push_back({rowKey(Key), encode(ViewObject{T.Number_, C})});
  }
}

void close(Ticket &T, TicketState State, std::string Reason) {
  T.State_ = State;
  T.Reason_ = std::move(Reason);
  T.Reason_.resize(std::min(T.Reason_.size(), MaxReasonLength));
}

/// Closes a ticket that has been voted down, has been accepted, or conflicts
/// with the state.
void closeIfDecided(Ticket &T, const Committee &Members,
                    const AgreedState &State) {
  const auto Decided = decision(T.Votes_, Members);
  if (Decided == Vote::No)
    return close(T, TicketState::Rejected, "voted down");
  if (std::string Problem = commitError(State, T); !Problem.empty())
    return close(T, TicketState::Conflicted, std::move(Problem));
  if (Decided == Vote::Yes)
    close(T, TicketState::Accepted, "");
}

} // namespace

TicketNumberTaken::TicketNumberTaken(TicketNumber Number)
    : Error("ticket " + toText(Number) + " already has another text") {}

TicketNumberPassed::TicketNumberPassed(TicketNumber Number, TicketNumber Head)
    : Error("ticket " + toText(Number) + " is not above the head " +
            toText(Head)),
      Head_(Head) {}

TicketNumberTooHigh::TicketNumberTooHigh(TicketNumber Number,
                                         TicketNumber Highest)
    : Error("ticket " + toText(Number) + " is above the maximum " +
            toText(Highest)) {}

VersionConflict::VersionConflict(ObjectKey Object, TicketNumber Expected,
                                 TicketNumber Actual)
    : Error(Object.str() + " is at version " + toText(Actual) +
            ", the ticket was written against " + toText(Expected)),
      Object_(std::move(Object)), Expected_(Expected), Actual_(Actual) {}

InvalidView::InvalidView(ObjectKey Object, const std::string &Problem)
    : Error(Object.str() + ": " + Problem), Object_(std::move(Object)) {}

BudgetAboveSize::BudgetAboveSize(const Budget &B, std::uint32_t Size)
    : InvalidView(keyOf(B), "the budget of " + std::to_string(B.MinAvailable_) +
                                " is above the pool's size of " +
                                std::to_string(Size)) {}

PoolMissing::PoolMissing(ObjectKey Object, const PoolId &Missing)
    : InvalidView(std::move(Object), "there is no pool " + Missing.str()) {}

SecondSparePool::SecondSparePool(const PoolId &Second)
    : InvalidView(ObjectKey("pool/" + Second.str()),
                  "there is another spare pool") {}

NotOnCommittee::NotOnCommittee(const OperatorId &Operator)
    : Error(Operator.str() + " is not on the committee") {}

VoteAlreadyCast::VoteAlreadyCast(const OperatorId &Operator, Vote Cast)
    : Error(Operator.str() + " has already voted " + std::string(name(Cast))) {}

TicketClosed::TicketClosed(TicketNumber Number, TicketState State)
    : Error("ticket " + toText(Number) + " is " + std::string(name(State))) {}

NoSuchTicket::NoSuchTicket(TicketNumber Number)
    : Error("there is no ticket " + toText(Number)) {}

TornRead::TornRead() : Error("a ticket was committed between the reads") {}

AgreedState readAgreedState(const std::optional<Row> &HeadRow,
                            const std::vector<Row> &ViewRows) {
  AgreedState State;
  if (HeadRow) {
    State.Head_ = decodeHead(HeadRow->Value_);
    State.HeadVersion_ = HeadRow->Version_;
  }
  TicketNumber Highest;
  for (const Row &R : ViewRows) {
    const ViewObject Object = decodeViewObject(R.Value_);
    Highest = std::max(Highest, Object.Ticket_);
    State.Objects_[keyOf(Object.Object_)] = {Object, R.Version_};
  }
  if (Highest != State.Head_)
    raise(TornRead());
  return State;
}

View withChanges(View V, const std::vector<Change> &Changes) {
  struct Replace {
    View &V_;
    void operator()(const Pool &P) { V_.Pools_[P.Name_] = P; }
    void operator()(const Budget &B) { V_.Budgets_[B.Pool_] = B; }
    void operator()(const Wave &W) { V_.Waves_[W.Name_] = W; }
    void operator()(const Quota &Q) { V_.Quotas_[Q.Team_] = Q; }
  };
  for (const Change &C : Changes)
    std::visit(Replace{V}, C);
  return V;
}

View viewOf(const AgreedState &State) {
  std::vector<Change> Objects;
  for (const auto &[Key, Stored] : State.Objects_)
    Objects.push_back(Stored.Value_.Object_);
  View V = withChanges({}, Objects);
  V.Head_ = State.Head_;
  return V;
}

void validate(const View &V, const std::vector<Change> &Changes) {
  const auto IsSpare = [](const auto &P) {
    return P.second.Spare_ && !P.second.Removed_;
  };
  const auto First = std::ranges::find_if(V.Pools_, IsSpare);
  if (First != V.Pools_.end()) {
    const auto Second = std::find_if(std::next(First), V.Pools_.end(), IsSpare);
    if (Second != V.Pools_.end())
      raise(SecondSparePool(Second->first));
  }
  for (const auto &[Name, B] : V.Budgets_) {
    const auto P = V.Pools_.find(Name);
    if (P == V.Pools_.end())
      raise(PoolMissing(keyOf(B), Name));
    const std::uint32_t Size = P->second.Removed_ ? 0 : P->second.Size_;
    if (B.MinAvailable_ > Size)
      raise(BudgetAboveSize(B, Size));
  }
  for (const Change &C : Changes) {
    const Wave *W = std::get_if<Wave>(&C);
    const auto P = W ? V.Pools_.find(W->Pool_) : V.Pools_.end();
    if (W && (P == V.Pools_.end() || P->second.Removed_))
      raise(PoolMissing(keyOf(C), W->Pool_));
  }
}

std::optional<Vote> decision(const std::map<OperatorId, Vote> &Votes,
                             const Committee &Members) {
  const auto HasMajority = [&](Vote Choice) {
    const auto Counts = [&](const auto &V) {
      return V.second == Choice && Members.Members_.contains(V.first);
    };
    const auto Count =
        static_cast<std::size_t>(std::ranges::count_if(Votes, Counts));
    const auto Chair = Votes.find(Members.Chair_);
    const bool WithChair = Chair != Votes.end() && Counts(*Chair);
    const std::size_t Size = Members.Members_.size();
    return 2 * Count > Size || (2 * Count == Size && WithChair);
  };
  if (HasMajority(Vote::Yes))
    return Vote::Yes;
  if (HasMajority(Vote::No))
    return Vote::No;
  return std::nullopt;
}

TicketUpdate submit(const Submission &S, const OperatorId &Author,
                    const std::optional<Row> &Existing,
                    const AgreedState &State, const AttemptId &Attempt) {
  Ticket T;
  T.Number_ = S.Number_;
  T.Author_ = Author;
  T.Text_ = S.Text_;
  T.Digest_ = digestOf(S.Text_);
  if (Existing) {
    Ticket Stored = decodeTicket(Existing->Value_);
    if (Stored.Digest_ != T.Digest_)
      raise(TicketNumberTaken(S.Number_));
    return {std::move(Stored), std::nullopt};
  }
  const TicketNumber Highest(State.Head_.value() + MaxNumberLead);
  if (S.Number_ > Highest)
    raise(TicketNumberTooHigh(S.Number_, Highest));
  requireCommittable(State, S.Number_, S.Text_);
  Transaction Write = ticketWrite(T, RowVersion(), Attempt);
  return {std::move(T), std::move(Write)};
}

TicketUpdate vote(TicketNumber Number, const std::optional<Row> &Existing,
                  const OperatorId &Operator, Vote Cast,
                  const Committee &Members, const AgreedState &State,
                  const AttemptId &Attempt) {
  if (!Existing)
    raise(NoSuchTicket(Number));
  if (!Members.Members_.contains(Operator))
    raise(NotOnCommittee(Operator));
  Ticket T = decodeTicket(Existing->Value_);
  if (const auto Earlier = T.Votes_.find(Operator); Earlier != T.Votes_.end()) {
    if (Earlier->second != Cast)
      raise(VoteAlreadyCast(Operator, Earlier->second));
    return {std::move(T), std::nullopt};
  }
  if (T.State_ != TicketState::Open)
    raise(TicketClosed(Number, T.State_));
  T.Votes_[Operator] = Cast;
  closeIfDecided(T, Members, State);
  Transaction Write = ticketWrite(T, Existing->Version_, Attempt);
  if (T.State_ == TicketState::Accepted)
    addHeadUpdate(Write, T, State);
  if (T.State_ == TicketState::Conflicted)
    Write.Expect_.push_back({std::string(HeadKey), State.HeadVersion_});
  return {std::move(T), std::move(Write)};
}

} // namespace heathercross::view
