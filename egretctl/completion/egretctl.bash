# Completion of egretctl for bash.

_egretctl_names() {
    egretctl get 2>/dev/null | awk -v list="$1" '
        $0 ~ "^  \"" list "\"" { inside = 1 }
        inside && /^  \]/ { inside = 0 }
        inside && /^      "name"/ { gsub(/[",]/, "", $3); print $3 }'
}

_egretctl() {
    local word=${COMP_WORDS[COMP_CWORD]}
    local commands="apply check dc diff explain gateway get history job key
        maintain place status"
    local options="--store --secret-file --json --wait --yes --expires --pool
        --dc --older-than --help --version"
    local choices="" command="" subcommand="" i
    for ((i = 1; i < COMP_CWORD; i++)); do
        case ${COMP_WORDS[i]} in
        -*) ;;
        *)
            if [[ -z $command ]]; then
                command=${COMP_WORDS[i]}
            elif [[ -z $subcommand ]]; then
                subcommand=${COMP_WORDS[i]}
            fi
            ;;
        esac
    done
    case $word in
    -*)
        mapfile -t COMPREPLY < <(compgen -W "$options" -- "$word")
        return
        ;;
    esac
    case "$command $subcommand" in
    " ") choices=$commands ;;
    "dc ") choices="in out" ;;
    "gateway ") choices="forget list" ;;
    "key ") choices="issue list withdraw" ;;
    "maintain ") choices="pause resume start status stop" ;;
    "dc "*) choices=$(_egretctl_names data_centres) ;;
    "key issue" | "key list") choices=$(_egretctl_names teams) ;;
    "explain ") choices=$(_egretctl_names queues) ;;
    "apply "* | "check "* | "diff "*)
        mapfile -t COMPREPLY < <(compgen -f -- "$word")
        return
        ;;
    esac
    mapfile -t COMPREPLY < <(compgen -W "$choices" -- "$word")
}

complete -F _egretctl egretctl
