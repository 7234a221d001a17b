// An incremental parser of HTTP/1.1 responses.
#pragma once

#include <QByteArray>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace heathercross::http {

/// Parses one response from bytes that arrive in pieces. The body is delimited
/// by Content-Length, by chunks, or by the end of the connection. Responses
/// with a 1xx status are skipped.
class ResponseParser {
public:
  enum class State : std::uint8_t { Incomplete, Complete, Malformed };

  /// A response with a longer body or head is malformed.
  explicit ResponseParser(std::uint64_t MaxBody) : MaxBody_(MaxBody) {}

  /// Takes in the next bytes. After bytes beyond the end of the response the
  /// connection can't be used again, since it has one request at a time.
  State feed(std::string_view Bytes);
  /// Takes in the end of the connection.
  State finish();

  /// Whether any byte has arrived.
  bool started() const { return Started_; }
  /// Whether the connection may carry another request after the response.
  bool keepsAlive() const { return KeepsAlive_; }
  int status() const { return Status_; }
  QByteArray &body() { return Body_; }
  std::vector<std::pair<std::string, std::string>> &headers() {
    return Headers_;
  }

private:
  enum class Phase : std::uint8_t {
    Head,
    /// RemainingBytes_ of the body follow.
    SizedBody,
    BodyUntilEnd,
    ChunkSize,
    /// RemainingBytes_ of the chunk follow, then an empty line.
    ChunkData,
    ChunkEnd,
    Trailer,
    Done,
    Failed,
  };

  /// Handles as much of Buffer_ as possible; returns whether the phase changed.
  bool advance();
  void parseHead(std::string_view Head);
  bool parseHeaderLine(std::string_view Line);
  /// Removes a line and its end from Buffer_; nothing if it isn't complete.
  std::optional<std::string> takeLine();
  /// Moves up to RemainingBytes_ from Buffer_ to the body.
  void takeBody();
  void beginBody();
  State state() const;

  std::uint64_t MaxBody_;
  Phase Phase_ = Phase::Head;
  std::string Buffer_;
  std::uint64_t RemainingBytes_ = 0;
  std::optional<std::uint64_t> ContentLength_;
  bool Chunked_ = false;
  bool Started_ = false;
  bool KeepsAlive_ = true;
  int Status_ = 0;
  QByteArray Body_;
  std::vector<std::pair<std::string, std::string>> Headers_;
};

} // namespace heathercross::http
