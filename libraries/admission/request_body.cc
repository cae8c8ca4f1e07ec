#include "libraries/admission/request_body.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <set>

namespace pomelospar::admission {
namespace {

constexpr std::size_t kMaximumDepth = 64;
// Longer values of `model` and `user` are ignored, so that a request keeps at most this much of
// each. The configuration does not limit the length of a model name; callers cannot select a model
// with a longer name through the body.
constexpr std::size_t kMaximumNameBytes = 512;
constexpr std::size_t kBytesPerToken = 4;

// The top-level fields that the router reads. A body must not repeat any of them.
constexpr std::array<std::string_view, 5> kRouterFields = {"model", "user", "stream", "max_tokens",
                                                           "max_completion_tokens"};

class FieldReader : public nlohmann::json::json_sax_t {
 public:
  explicit FieldReader(RequestBody& fields) : fields(fields) {}

  bool null() override { return true; }
  bool boolean(bool value) override {
    if (this->IsValueOf("stream")) {
      this->fields.stream = value;
    }
    return true;
  }
  bool number_integer(number_integer_t /*value*/) override { return true; }
  bool number_unsigned(number_unsigned_t value) override {
    if (this->IsValueOf("max_tokens") || this->IsValueOf("max_completion_tokens")) {
      this->fields.maximum_tokens = std::max(this->fields.maximum_tokens.value_or(0), value);
    }
    return true;
  }
  bool number_float(number_float_t /*value*/, const string_t& /*text*/) override { return true; }
  bool string(string_t& value) override {
    if (value.size() > kMaximumNameBytes) {
      return true;
    }
    if (this->IsValueOf("model")) {
      this->fields.model = value;
    } else if (this->IsValueOf("user")) {
      this->fields.user = value;
    }
    return true;
  }
  bool binary(binary_t& /*value*/) override { return true; }
  bool start_object(std::size_t /*elements*/) override { return this->Enter(true); }
  bool key(string_t& name) override {
    if (this->depth != 1) {
      return true;
    }
    const auto* const field = std::ranges::find(kRouterFields, name);
    this->current_field = field == kRouterFields.end() ? std::string_view() : *field;
    if (this->current_field.empty() || this->seen.insert(this->current_field).second) {
      return true;
    }
    this->problem = "the body has a field twice; send each field once";
    return false;
  }
  bool end_object() override { return this->Leave(); }
  bool start_array(std::size_t /*elements*/) override { return this->Enter(false); }
  bool end_array() override { return this->Leave(); }
  bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                   const nlohmann::json::exception& /*exception*/) override {
    this->problem = "the body is not valid JSON; send a JSON object";
    return false;
  }

  std::string_view problem;

 private:
  /// Whether the present value is the value of the top-level field `name`.
  bool IsValueOf(std::string_view name) const {
    return this->depth == 1 && this->top_is_object && this->current_field == name;
  }
  bool Enter(bool object) {
    if (this->depth == 0) {
      this->top_is_object = object;
    }
    this->depth += 1;
    if (this->depth <= kMaximumDepth) {
      return true;
    }
    this->problem = "the body is nested deeper than 64 levels; send a flatter body";
    return false;
  }
  bool Leave() {
    this->depth -= 1;
    return true;
  }

  RequestBody& fields;
  std::size_t depth = 0;
  bool top_is_object = false;
  // The field of the last key at the top level; empty if the router does not read that field.
  std::string_view current_field;
  std::set<std::string_view> seen;
};

}  // namespace

std::uint64_t EstimateTokens(std::size_t bytes) {
  return (bytes + kBytesPerToken - 1) / kBytesPerToken;
}

core::Result<RequestBody> ParseRequestBody(std::string_view body) {
  RequestBody fields;
  fields.input_tokens = EstimateTokens(body.size());
  FieldReader reader(fields);
  if (!nlohmann::json::sax_parse(body, &reader)) {
    return core::MakeError(core::ErrorKind::kMalformed, std::string(reader.problem));
  }
  return fields;
}

}  // namespace pomelospar::admission
