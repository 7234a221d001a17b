// JSON texts of the agreed view's rows and of operators' tickets.
#pragma once

#include "heathercross/fleet-model.h"
#include "heathercross/table.h"
#include "heathercross/units.h"

#include <QJsonObject>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace heathercross::view {

/// The longest ticket text or row that is read.
inline constexpr Bytes MaxTextSize = 256_KiB;
/// The most changes that one ticket carries.
inline constexpr std::size_t MaxChanges = 200;
/// The most objects that one ticket is written against.
inline constexpr std::size_t MaxAgainst = 400;
/// The most votes that are read from a ticket's row.
inline constexpr std::size_t MaxVotes = 100;
/// The most instances that a pool may be meant to have.
inline constexpr std::uint32_t MaxPoolSize = 10'000;
/// The highest weight of a team's share.
inline constexpr std::uint32_t MaxWeight = 1'000;
/// The most jobs that a team may be allowed.
inline constexpr std::uint32_t MaxJobsPerTeam = 1'000'000;
/// The longest drain of a wave.
inline constexpr Millis MaxDrainLimit = std::chrono::hours(24);
/// The highest ticket number: what eight digits hold.
inline constexpr std::uint64_t MaxTicketNumber = 99'999'999;
/// The longest reason in a ticket's row, in bytes.
inline constexpr std::size_t MaxReasonLength = 400;
/// The longest address of a worker, in bytes.
inline constexpr std::size_t MaxAddressLength = 64;

/// What names an object of the view: "pool/NAME", "budget/POOL", "wave/NAME"
/// or "quota/TEAM".
using ObjectKey = Id<struct ObjectKeyTag>;

/// The whole new state of one object.
using Change = std::variant<Pool, Budget, Wave, Quota>;

/// What an operator asks for: new states, and the versions of objects that
/// they were written against. An object without an entry is taken to be new
/// (version zero). Objects that aren't changed may be named too, when the
/// change relies on them.
struct TicketText {
  std::vector<Change> Changes_;
  std::map<ObjectKey, TicketNumber> Against_;
  bool operator==(const TicketText &) const = default;
};

enum class TicketState : std::uint8_t {
  /// Waits for votes.
  Open,
  /// Decided by the committee and committed.
  Accepted,
  /// Decided against.
  Rejected,
  /// Overtaken by what was committed since; can't be committed any more.
  Conflicted,
};

enum class Vote : std::uint8_t { Yes, No };

/// A ticket as its row holds it.
struct Ticket {
  TicketNumber Number_;
  OperatorId Author_;
  TicketText Text_;
  /// SHA-256 of the text's canonical form, in hex.
  std::string Digest_;
  TicketState State_ = TicketState::Open;
  std::map<OperatorId, Vote> Votes_;
  /// Why it is rejected or conflicted, for people.
  std::string Reason_;
  bool operator==(const Ticket &) const = default;
};

/// A submission as an operator sends it.
struct Submission {
  TicketNumber Number_;
  TicketText Text_;
};

/// One object of the view with the ticket that last changed it.
struct ViewObject {
  TicketNumber Ticket_;
  Change Object_;
  bool operator==(const ViewObject &) const = default;
};

inline constexpr std::string_view HeadKey = "head";
inline constexpr std::string_view ViewPrefix = "view/";
inline constexpr std::string_view TicketPrefix = "ticket/";

/// The object that a change replaces.
ObjectKey keyOf(const Change &C);
/// The table's key for an object, "view/pool/NAME".
std::string rowKey(const ObjectKey &Object);
/// The table's key for a ticket, "ticket/00000042".
std::string rowKey(TicketNumber Number);

// Writers. The texts have no spaces and their fields in order of names, so
// equal values give equal texts.

QJsonObject toJson(const Pool &P);
QJsonObject toJson(const Budget &B);
QJsonObject toJson(const Wave &W);
QJsonObject toJson(const Quota &Q);
QJsonObject toJson(const InstanceRow &I);
QJsonObject toJson(const TicketText &T);
QJsonObject toJson(const Ticket &T);
QJsonObject toJson(const ViewObject &O);
/// The body of GET /v1/view.
QJsonObject toJson(const View &V);
/// The value of the row "head".
std::string headText(TicketNumber Head);
/// Any of the above as text.
template <class T> std::string encode(const T &Value);

// Readers. They throw FormatError with the place of the problem. Rows may have
// fields that are unknown here; what operators send may not.

/// Reads the value of a row under "view/".
ViewObject decodeViewObject(std::string_view Text);
TicketNumber decodeHead(std::string_view Text);
Ticket decodeTicket(std::string_view Text);
InstanceRow decodeInstanceRow(std::string_view Text);
/// Reads an operator's text: the value of "text" in a submission.
TicketText decodeTicketText(std::string_view Text);
/// Reads the body of POST /v1/tickets.
Submission decodeSubmission(std::string_view Body);
/// Reads the body of POST /v1/tickets/N/votes.
Vote decodeVote(std::string_view Body);

/// SHA-256 of a ticket text's canonical form, in hex.
std::string digestOf(const TicketText &T);

std::string_view name(TicketState S);
std::string_view name(Vote V);
std::string_view name(WaveMode M);
std::string_view name(InstanceState S);

} // namespace heathercross::view

#include "core/json-place.h"

namespace heathercross::view {
template <class T> std::string encode(const T &Value) {
  return jsonText(toJson(Value));
}
} // namespace heathercross::view
