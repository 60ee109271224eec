#include "services/entry_answers.h"

#include "absl/strings/str_cat.h"
#include "codec/json_codec.h"

namespace plantainlatch {

namespace {

    /** When the cache is full, it is cleared; only look-ups with unknown failure domains can fill it. */
    constexpr std::size_t maximumCachedAnswers = 256;
    constexpr int statusOk = 200;

} // namespace

entry_answers::entry_answers(entry_list_port& port, vm_id self)
    : m_port(port)
    , m_self(std::move(self))
{
    m_port.onChange([this] { m_encoded.clear(); });
}

const http_answer& entry_answers::answerFor(const std::string& failureDomain)
{
    const auto found = m_encoded.find(failureDomain);
    if (found != m_encoded.end())
        return found->second;
    if (m_encoded.size() >= maximumCachedAnswers)
        m_encoded.clear();
    return m_encoded.emplace(failureDomain, encode(failure_domain_id(failureDomain))).first->second;
}

void entry_answers::excludeSelf()
{
    m_excludeSelf = true;
    m_encoded.clear();
}

http_answer entry_answers::encode(const failure_domain_id& failureDomain) const
{
    entry_list list = m_port.list(failureDomain);
    if (m_excludeSelf)
        std::erase_if(list.entries, [this](const weighted_entry& item) { return item.vm.id == m_self; });
    const auto seconds = std::chrono::floor<std::chrono::seconds>(list.cacheTime).count();
    return encodeAnswer(statusOk,
        { { "Content-Type", "application/json" }, { "Cache-Control", absl::StrCat("max-age=", seconds) } },
        encodeEntryListJson(list));
}

} // namespace plantainlatch
