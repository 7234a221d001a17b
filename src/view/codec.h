// JSON encoding of the agreed view's rows and of change tickets.
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

/// Maximum size of a ticket text or a row.
inline constexpr Bytes MaxTextSize = 256_KiB;
/// Maximum number of changes in a ticket.
inline constexpr std::size_t MaxChanges = 200;
/// Maximum number of base versions in a ticket.
inline constexpr std::size_t MaxBaseVersions = 400;
/// Maximum number of votes in a ticket's row.
inline constexpr std::size_t MaxVotes = 100;
/// Maximum target size of a pool, in instances.
inline constexpr std::uint32_t MaxPoolSize = 10'000;
/// Maximum weight of a team's share.
inline constexpr std::uint32_t MaxWeight = 1'000;
/// Maximum of a team's job limit.
inline constexpr std::uint32_t MaxJobsPerTeam = 1'000'000;
/// Maximum drain limit of a maintenance wave.
inline constexpr Millis MaxDrainLimit = std::chrono::hours(24);
/// Maximum ticket number; row keys have eight digits.
inline constexpr std::uint64_t MaxTicketNumber = 99'999'999;
/// Maximum length of the reason in a ticket's row, in bytes.
inline constexpr std::size_t MaxReasonLength = 400;
/// Maximum length of a worker's address, in bytes.
inline constexpr std::size_t MaxAddressLength = 64;

/// The key of an object of the view: "pool/NAME", "budget/POOL", "wave/NAME" or
/// "quota/TEAM".
using ObjectKey = Id<struct ObjectKeyTag>;

/// The complete new state of an object.
using Change = std::variant<Pool, Budget, Wave, Quota>;

/// The content of a ticket: the new states of objects, and the versions that
/// the ticket is based on. A changed object without a base version must be new
/// (version zero). Base versions of unchanged objects that the ticket depends
/// on may be included.
struct TicketText {
  std::vector<Change> Changes_;
  std::map<ObjectKey, TicketNumber> BaseVersions_;
  bool operator==(const TicketText &) const = default;
};

enum class TicketState : std::uint8_t {
  /// Waiting for votes.
  Open,
  /// Accepted by the committee and committed.
  Accepted,
  /// Rejected by the committee.
  Rejected,
  /// In conflict with tickets committed since; can't be committed.
  Conflicted,
};

enum class Vote : std::uint8_t { Yes, No };

/// A ticket as stored in its row.
struct Ticket {
  TicketNumber Number_;
  OperatorId Author_;
  TicketText Text_;
  /// SHA-256 of the encoded text, in hex.
  std::string Digest_;
  TicketState State_ = TicketState::Open;
  std::map<OperatorId, Vote> Votes_;
  /// Why the ticket was rejected or is in conflict, for people.
  std::string Reason_;
  bool operator==(const Ticket &) const = default;
};

/// The body of POST /v1/tickets.
struct Submission {
  TicketNumber Number_;
  TicketText Text_;
};

/// An object of the view and the ticket that changed it last.
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

// Encoders. Their output has no whitespace and its fields are sorted by name,
// so that equal values have equal encodings.

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
std::string encodeHead(TicketNumber Head);
/// Serializes any of the above.
template <class T> std::string encode(const T &Value);

// Decoders. They throw FormatError with the path of the bad value. Unknown
// fields are ignored in rows and rejected in operators' input.

/// Decodes the value of a row under "view/".
ViewObject decodeViewObject(std::string_view Text);
TicketNumber decodeHead(std::string_view Text);
Ticket decodeTicket(std::string_view Text);
InstanceRow decodeInstanceRow(std::string_view Text);
/// Decodes a ticket text: the value of "text" in a submission.
TicketText decodeTicketText(std::string_view Text);
/// Decodes the body of POST /v1/tickets.
Submission decodeSubmission(std::string_view Body);
/// Decodes the body of POST /v1/tickets/N/votes.
Vote decodeVote(std::string_view Body);

/// SHA-256 of the encoded ticket text, in hex.
std::string digestOf(const TicketText &T);

std::string_view name(TicketState S);
std::string_view name(Vote V);
std::string_view name(WaveMode M);
std::string_view name(InstanceState S);

} // namespace heathercross::view

#include "core/json-node.h"

namespace heathercross::view {
template <class T> std::string encode(const T &Value) {
  return jsonText(toJson(Value));
}
} // namespace heathercross::view
